//! Tests the choice of servers, admission control and the retry limit under load.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, Candidate, HostCount, PauseTable, ReportedLoad,
            RequestOutcome, RetryWindow, ServerGauge, WorkTime, choose_server, retry_after,
        },
        time::BootTime,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

const TARGET: Duration = Duration::from_millis(400);
const WINDOW: Duration = Duration::from_secs(10);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

/// Gauge of a server with this service time and number of requests in flight.
fn gauge(service_ms: u64, in_flight: u32) -> ServerGauge {
    let mut gauge = ServerGauge::new(3, Duration::ZERO, at(0));
    for _ in 0..60 {
        gauge.record_sent();
        gauge.record_ended(
            RequestOutcome::Success,
            Duration::from_millis(service_ms),
            at(0),
        );
    }
    for _ in 0..in_flight {
        gauge.record_sent();
    }
    gauge
}

fn candidate(gauge: &ServerGauge, local: bool) -> Candidate {
    let reading = gauge.read(at(10));
    let rule = AdmissionRule {
        target_latency: TARGET,
        time_left: Duration::from_secs(2),
        rank_limit: None,
        is_hot_key: false,
    };
    Candidate {
        reading,
        local,
        tried: false,
        admitted: rule.decide(reading) == Admission::Send,
    }
}

fn chosen(candidates: &[Candidate]) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    choose_server(candidates, TARGET, &mut random).expect("a candidate")
}

/// Simulates a steady overload: callers send twice as many requests as the servers can answer.
/// Returns the requests answered within the target latency as a share of the capacity.
fn simulate_overload(refuse: bool) -> f64 {
    let (service_ms, servers, span_ms) = (120, 4, 20_000);
    let mut gauges: Vec<ServerGauge> = (0..servers).map(|_| gauge(service_ms, 0)).collect();
    // Time at which each slot of a server becomes free; then end time, server and start time
    // of each request.
    let mut slots = vec![[0_u64; 3]; servers];
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let mut in_time = 0;
    for step in 0..span_ms / 5 {
        let now = step * 5;
        running.retain(|(end, server, sent)| {
            if *end > now {
                return true;
            }
            let latency = Duration::from_millis(end - sent);
            gauges[*server].record_ended(RequestOutcome::Success, latency, at(now));
            in_time += u64::from(latency <= TARGET);
            false
        });
        let candidates: Vec<Candidate> =
            gauges.iter().map(|gauge| candidate(gauge, true)).collect();
        let server = chosen(&candidates);
        if refuse && !candidates[server].admitted {
            continue;
        }
        gauges[server].record_sent();
        let slot = slots[server].iter_mut().min().expect("slots");
        *slot = (*slot).max(now) + service_ms;
        running.push((*slot, server, now));
    }
    let capacity = span_ms as f64 / service_ms as f64 * (servers * 3) as f64;
    in_time as f64 / capacity
}

/// Load: twice the capacity of the servers. Guards against queues so long that every answer
/// is too late: refusing requests keeps goodput near the capacity.
#[test]
fn refusals_keep_goodput_at_twice_the_capacity() {
    let without = simulate_overload(false);
    let with = simulate_overload(true);

    assert!(with >= 0.8, "goodput {with}, without refusals {without}");
    assert!(
        without < 0.5,
        "the load does not exceed the capacity: {without}"
    );
}

/// Load: servers of different speed. Guards against a choice that ignores speed or queue length.
#[rstest]
#[case::faster((100, 0), (300, 0), 0)]
#[case::shorter_queue((100, 9), (150, 0), 1)]
fn server_that_answers_first_is_chosen(
    #[case] first: (u64, u32),
    #[case] second: (u64, u32),
    #[case] expected: usize,
) {
    let candidates = [
        candidate(&gauge(first.0, first.1), true),
        candidate(&gauge(second.0, second.1), true),
    ];

    assert_eq!(chosen(&candidates), expected);
}

/// Load: even. Guards against traffic between zones that gains callers nothing, and against
/// using a local server that is noticeably slower for callers.
#[rstest]
#[case::unnoticed((120, 2), (100, 0), 0)]
#[case::noticed((120, 9), (100, 0), 1)]
fn local_server_is_preferred_while_unnoticed(
    #[case] local: (u64, u32),
    #[case] remote: (u64, u32),
    #[case] expected: usize,
) {
    let candidates = [
        candidate(&gauge(local.0, local.1), true),
        candidate(&gauge(remote.0, remote.1), false),
    ];

    assert_eq!(chosen(&candidates), expected);
}

/// Load: an unresponsive server. Guards against sending it new requests while others respond.
#[test]
fn unresponsive_server_is_avoided_temporarily() {
    let mut unresponsive = gauge(50, 1);
    unresponsive.record_ended(RequestOutcome::Unresponsive, Duration::from_secs(1), at(0));
    let other = gauge(200, 0);

    let soon = chosen(&[candidate(&unresponsive, true), candidate(&other, true)]);
    let later = unresponsive.read(at(2_000));

    assert_eq!(soon, 1);
    assert!(!later.avoided);
}

/// Load: other hosts use the server as well. Guards against a backlog that counts only this
/// host's requests.
#[test]
fn reported_load_of_other_hosts_counts() {
    let mut gauge = gauge(100, 1);
    let reported = ReportedLoad {
        running: 3,
        waiting: 4,
        slots: 3,
        work_time: WorkTime::USUAL,
    };

    gauge.record_reported_load(reported, at(0));

    assert!(gauge.read(at(10)).backlog >= 7);
}

/// Guards against more retries by all hosts together than allowed, in any window.
#[rstest]
#[case::one_host(1, 100)]
#[case::ten_hosts(10, 100)]
#[case::no_requests(10, 0)]
fn retries_stay_within_the_allowance(#[case] hosts: u32, #[case] per_second: u64) {
    let (ratio, slack) = (0.2, 60.0);
    let mut windows: Vec<RetryWindow> = (0..hosts)
        .map(|_| RetryWindow::new(WINDOW, ratio, slack))
        .collect();
    let mut retry_times: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for now in (0..30_000_u64).step_by(10) {
        for window in &mut windows {
            if now % (1_000 / per_second.max(1)) == 0 && per_second > 0 {
                window.count_request(at(now));
                requests.push(now);
            }
            if window.try_retry(Some(hosts), at(now)) {
                retry_times.push(now);
            }
        }
    }

    for start in (0..20_000_u64).step_by(250) {
        let within = |times: &[u64], from: u64| {
            let inside = |time: &&u64| (from..from + 10_000).contains(*time);
            times.iter().filter(inside).count() as f64
        };
        let allowed = within(&requests, start) * ratio + slack;
        assert!(
            within(&retry_times, start) <= allowed,
            "window at {start} ms"
        );
    }
}

/// Load: all hosts restart at once while servers fail. Guards against hosts that use a share
/// of the slack before they know the number of hosts: each of 74 hosts once took a tenth.
#[test]
fn host_without_host_count_uses_no_slack() {
    let mut window = RetryWindow::new(WINDOW, 0.2, 188.0);
    for now in 0..10 {
        window.count_request(at(now));
    }

    let taken = (0..100).filter(|_| window.try_retry(None, at(10)));

    assert!(taken.count() <= 2);
}

/// Guards against shares that grow as soon as a host leaves, although that host has spent its
/// own.
#[test]
fn lower_host_count_applies_after_the_window() {
    let mut count = HostCount::default();
    count.record_hosts(10, WINDOW, at(0));

    count.record_hosts(4, WINDOW, at(9_000));
    let within = count.value();
    count.record_hosts(12, WINDOW, at(9_500));
    let more = count.value();
    count.record_hosts(4, WINDOW, at(19_600));

    assert_eq!((within, more, count.value()), (Some(10), Some(12), Some(4)));
}

/// Guards against callers that all retry at the same time, or much too late.
#[test]
fn retry_after_is_spread() {
    let reading = gauge(200, 9).read(at(10));

    let earliest = retry_after(Some(reading), 0.0);
    let latest = retry_after(Some(reading), 0.99);

    assert!(earliest >= Duration::from_millis(100) && latest <= Duration::from_secs(3));
    assert!(latest.as_secs_f64() / earliest.as_secs_f64() > 1.5);
}

/// Guards against a pause that begins or ends more than once in the log, and against one that another
/// start of the server pays for.
#[test]
fn pause_begins_and_ends_once() {
    let mut pauses = PauseTable::default();
    let server = "s-1".parse().expect("valid id");
    let start = BootTime::from_millis(1_000);
    let second = Duration::from_secs(1);

    let begun = pauses.record(&server, 2, second, start);
    let extended = pauses.record(&server, 2, second * 2, start);
    let earlier_start = pauses.record(&server, 1, second * 9, start);
    let early = pauses.expire(start + second);
    let ended = pauses.expire(start + second * 2);

    assert_eq!((begun, extended, earlier_start), (Some(second), None, None));
    assert_eq!((early, ended), (Vec::new(), vec![server]));
    assert!(pauses.expire(start + second * 3).is_empty());
}
