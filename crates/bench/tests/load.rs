//! Tests of the load generator: a wrong distribution of keys or a wrong count of good calls would
//! make every benchmark result wrong.

use {
    camphorcove_bench::{
        load::{Arrivals, KeySampler, LoadPlan, ServiceLoad, run},
        report::{CallOutcome, CallStats, ResultTable},
    },
    camphorcove_core::conf::TimeSpan,
    camphorcove_standin::backend::{BackendSettings, BackendStandin},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{collections::HashSet, time::Duration},
};

const SEED: u64 = 7;

/// Draws `count` key indexes out of 100 keys.
fn draws(skew: f64, count: usize) -> Vec<usize> {
    let sampler = KeySampler::new(100, skew);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    (0..count).map(|_| sampler.draw(&mut rng)).collect()
}

#[test]
fn keys_without_skew_are_drawn_uniformly() {
    let draws = draws(0.0, 100_000);

    for key in 0..100 {
        let count = draws.iter().filter(|draw| **draw == key).count();
        assert!(
            (800..1_200).contains(&count),
            "seed {SEED}: key {key} {count} times"
        );
    }
}

// With an exponent of 1 over 100 keys, the first key has 1/5.187 of the total weight (about
// 19,280 of 100,000 draws) and the tenth key a tenth of that.
#[test]
fn skewed_keys_follow_their_weights() {
    let draws = draws(1.0, 100_000);

    let first = draws.iter().filter(|draw| **draw == 0).count();
    let tenth = draws.iter().filter(|draw| **draw == 9).count();

    assert!((18_800..19_800).contains(&first), "seed {SEED}: {first}");
    assert!((1_750..2_110).contains(&tenth), "seed {SEED}: {tenth}");
}

/// Reply with an execution header that matches the result code: 109 is a refusal by the router.
fn reply(status: u16, code: Option<u16>) -> CallOutcome {
    let execution = if code == Some(109) { "not-run" } else { "ran" };
    CallOutcome::Reply {
        status,
        code,
        execution: Some(execution.into()),
    }
}

#[rstest]
#[case::answered(reply(200, Some(200)), true)]
#[case::direct(reply(204, None), true)]
#[case::server_failed(reply(500, Some(200)), false)]
#[case::refused(reply(503, Some(109)), false)]
#[case::repeat(reply(200, Some(202)), false)]
#[case::not_sent(CallOutcome::NotSent, false)]
#[case::no_reply(CallOutcome::NoReply, false)]
fn only_answers_of_servers_count_as_good(#[case] outcome: CallOutcome, #[case] good: bool) {
    let mut call_stats = CallStats::default();

    call_stats.add(outcome, Duration::from_millis(5));

    assert_eq!(
        (call_stats.total_calls(), call_stats.good()),
        (1, u64::from(good))
    );
}

#[test]
fn merged_stats_keep_counts_and_latencies() {
    let mut first = CallStats::default();
    first.add(reply(200, Some(200)), Duration::from_millis(1));
    let mut second = CallStats::default();
    second.add(reply(200, Some(200)), Duration::from_millis(9));
    second.add(reply(503, Some(109)), Duration::from_millis(2));

    first.merge(&second);

    assert_eq!((first.total_calls(), first.good()), (3, 2));
    assert_eq!(first.latency(1.0).as_millis(), 9);
    assert_eq!(first.outcome_summary(), "200 ran: 2; 109 not-run: 1");
}

// Guards against a table that counts server errors (5xx) together with successful answers, as
// both have the router's result code 200.
#[test]
fn server_errors_are_distinguished_from_answers() {
    let (answered, failed) = (reply(200, Some(200)), reply(500, Some(200)));

    assert_eq!(answered.to_string(), "200 ran");
    assert_eq!(failed.to_string(), "200 ran (http 500)");
}

#[test]
fn csv_quotes_cells_with_separators() {
    let mut table = ResultTable::new(&["name", "note"]);
    table.push(vec!["a".into(), "one, \"two\"".into()]);

    let csv = table.csv();

    assert_eq!(csv, "name,note\na,\"one, \"\"two\"\"\"\n");
}

#[rstest]
#[case(
    "name=rutas,path=/r/{key}?size=10,weight=2.5,method=POST,class=batch,body=3,ids=true",
    true
)]
#[case("path=/", true)]
#[case("weight=heavy", false)]
#[case("weigth=1", false)]
#[case("name", false)]
fn services_are_parsed_from_text(#[case] text: &str, #[case] valid: bool) {
    let service = text.parse::<ServiceLoad>();

    assert_eq!(service.is_ok(), valid, "{service:?}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn every_planned_request_is_sent_and_counted(
    #[values(Arrivals::Even, Arrivals::Poisson)] arrivals: Arrivals,
) {
    let settings = BackendSettings {
        slots: 4_096,
        connections: 4_096,
        ..BackendSettings::default()
    };
    let backend = BackendStandin::with_settings(settings).await.unwrap();
    let services = [
        ServiceLoad::get("a", "/a/{key}?size=100"),
        "name=b,path=/b/{key},method=POST,ids=true,body=10"
            .parse()
            .unwrap(),
    ];
    let plan = LoadPlan {
        rate: 500.0,
        duration: TimeSpan(400),
        arrivals,
        // Longer than a busy machine may stall, so that no request times out.
        timeout: TimeSpan(60_000),
        seed: SEED,
        ..LoadPlan::default()
    };

    let result = run(&[backend.address()], &services, &plan).await;

    let ledger = backend.ledger();
    let counted: Vec<u64> = result
        .services
        .iter()
        .map(|(_, call_stats)| call_stats.total_calls())
        .collect();
    let ran = |prefix: &str| {
        ledger
            .iter()
            .filter(|run| run.path.starts_with(prefix))
            .count() as u64
    };
    assert_eq!(counted, [ran("/a/"), ran("/b/")], "seed {SEED}");
    assert!(
        result
            .services
            .iter()
            .all(|(_, call_stats)| call_stats.good() == call_stats.total_calls())
    );
    assert_eq!(result.skipped, 0);
    let ids: HashSet<_> = ledger
        .iter()
        .filter_map(|run| run.idempotency_key.clone())
        .collect();
    assert_eq!(
        ids.len() as u64,
        counted[1],
        "every request has an id of its own"
    );
    if arrivals == Arrivals::Even {
        assert_eq!(counted.iter().sum::<u64>(), 200);
    }
}
