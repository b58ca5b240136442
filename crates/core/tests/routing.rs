//! Lookup of routes by host and prefix, and traffic splits by weight.

use {
    camphorcove_core::{
        ids::ConfigVersion,
        routing::{
            CallerLimits, RetryPolicy, RouteRank, RouteRule, RouteTable, ServiceRule, SplitPart,
            WeightedRoundRobin,
        },
    },
    rstest::rstest,
    std::{collections::HashMap, time::Duration},
};

fn rule(name: &str, prefix: &str, parts: &[(&str, u32)]) -> RouteRule {
    let part = |(service, weight): &(&str, u32)| SplitPart {
        service: service.parse().expect("valid name"),
        weight: *weight,
    };
    RouteRule {
        name: name.into(),
        host: "boats.example".into(),
        prefix: prefix.into(),
        retry: RetryPolicy::Idempotent,
        time_limit: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        rank: RouteRank(0),
        attempts: 2,
        split: parts.iter().map(part).collect(),
    }
}

fn table(rules: Vec<RouteRule>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
    };
    let service = |name: &str| ServiceRule {
        name: name.parse().expect("valid name"),
        connections: 10,
        keyed: false,
        warmup: None,
    };
    let services = vec![service("one"), service("two")];
    RouteTable::new(ConfigVersion(1), limits, services, rules).expect("valid table")
}

/// Guards against a route with a shorter prefix that hides one with a longer prefix.
#[rstest]
#[case("boats.example", "/a/b/c", Some("long"))]
#[case("BOATS.example:8080", "/a/x", Some("short"))]
#[case("boats.example", "/a", None)]
#[case("other.example", "/a/b/", None)]
fn longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let table = table(vec![
        rule("short", "/a/", &[("one", 1)]),
        rule("long", "/a/b/", &[("one", 1)]),
    ]);

    let found = table.find(host, path);

    assert_eq!(found.map(|rule| rule.name.as_str()), expected);
}

/// Guards against shares that differ from the weights over a hundred requests.
#[rstest]
#[case(&[("one", 90), ("two", 10)], 90)]
#[case(&[("one", 1), ("two", 2)], 34)]
#[case(&[("one", 0), ("two", 5)], 0)]
fn split_keeps_its_weights(#[case] parts: &[(&str, u32)], #[case] expected_share: usize) {
    let rule = rule("r", "/a/", parts);
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts: HashMap<String, usize> = HashMap::new();

    for _ in 0..100 {
        *counts
            .entry(round_robin.next(&rule).to_string())
            .or_default() += 1;
    }

    let share = counts.get("one").copied().unwrap_or(0);
    assert!(share.abs_diff(expected_share) <= 1, "{counts:?}");
}

/// Guards against shares over many hosts that differ from the weights because every host starts
/// with the same part: 60 hosts with 2 requests each sent every part of a 70:30 split half of
/// the requests.
#[rstest]
#[case(&[("one", 70), ("two", 30)], 2, 0.7)]
#[case(&[("one", 90), ("two", 10)], 5, 0.9)]
#[case(&[("one", 5), ("two", 4_000_000)], 3, 0.0)]
fn split_keeps_its_weights_over_many_hosts(
    #[case] parts: &[(&str, u32)],
    #[case] requests_per_host: u32,
    #[case] expected_share: f64,
) {
    const HOSTS: u32 = 60;
    let rule = rule("r", "/a/", parts);
    let mut ones = 0_u32;

    for host in 0..HOSTS {
        let phase = f64::from(host) / f64::from(HOSTS);
        let mut round_robin = WeightedRoundRobin::with_phase(phase);
        for _ in 0..requests_per_host {
            ones += u32::from(round_robin.next(&rule).as_str() == "one");
        }
    }

    let share = f64::from(ones) / f64::from(HOSTS * requests_per_host);
    assert!((share - expected_share).abs() <= 0.05, "{share}");
}

/// Guards against a route that is no longer answered after its split has changed: a request whose body
/// was on its way had still been divided by the earlier split, and its weights were used for the new one.
#[rstest]
#[case::more_parts(&[("one", 1), ("two", 1)], &[("one", 1), ("two", 1), ("three", 2)], [0.25, 0.25, 0.5])]
#[case::fewer_parts(&[("one", 1), ("two", 1), ("three", 2)], &[("one", 3), ("two", 1)], [0.75, 0.25, 0.0])]
#[case::other_weights(&[("one", 1_000), ("two", 1)], &[("one", 1), ("two", 1)], [0.5, 0.5, 0.0])]
fn split_keeps_its_weights_beside_requests_of_an_earlier_split(
    #[case] earlier: &[(&str, u32)],
    #[case] current: &[(&str, u32)],
    #[case] expected: [f64; 3],
    #[values(0.0, 0.5, 0.99)] phase: f64,
) {
    const REQUESTS: u32 = 400;
    let (earlier, current) = (rule("r", "/a/", earlier), rule("r", "/a/", current));
    let mut round_robin = WeightedRoundRobin::with_phase(phase);
    round_robin.next(&earlier);
    let mut counts: HashMap<String, u32> = HashMap::new();

    round_robin.reset();
    for _ in 0..REQUESTS {
        round_robin.next(&earlier);
        *counts
            .entry(round_robin.next(&current).to_string())
            .or_default() += 1;
    }

    for (name, expected) in ["one", "two", "three"].into_iter().zip(expected) {
        let count = counts.get(name).copied().unwrap_or_default();
        let share = f64::from(count) / f64::from(REQUESTS);
        assert!((share - expected).abs() <= 0.02, "{counts:?}");
    }
}
