//! Tests which requests wait at a host, and in which order they are woken.

use {
    camphorcove_core::{
        dispatch::{AdmissionRule, GaugeReading, RankLimit, ReturnTarget, WaitQueue},
        routing::RouteRank,
    },
    rstest::rstest,
    std::time::Duration,
};

fn target(server: &str) -> ReturnTarget {
    ReturnTarget::Owner(server.parse().expect("an id"))
}

/// Rule of a route of rank 1 with a target of 1.2 s beside a more urgent one.
fn rule() -> AdmissionRule {
    AdmissionRule {
        target_latency: Duration::from_millis(1_200),
        time_left: Duration::from_millis(5_000),
        rank_limit: Some(RankLimit {
            rank: RouteRank(1),
            limit: 0.7,
            most_urgent: 0.95,
        }),
        is_hot_key: false,
    }
}

fn reading(expected: f64) -> GaugeReading {
    GaugeReading {
        backlog: 6,
        slots: 2,
        expected,
        service_time: 0.25,
        work_factor: 1.0,
        failure_share: 0.0,
        avoided: false,
    }
}

/// Load: a server whose queue is longer than the limit by this many seconds. Guards against requests that
/// wait although room comes too late, and are refused with less time to return.
#[rstest]
#[case::room_soon(0.8, true)]
#[case::room_too_late(1.1, false)]
fn request_waits_only_if_room_comes_soon(#[case] expected: f64, #[case] waits: bool) {
    let longest = rule().longest_wait(reading(expected));

    assert_eq!(longest > Duration::ZERO, waits, "{longest:?}");
    assert!(longest <= Duration::from_millis(180), "{longest:?}");
}

/// Load: a hot key. Guards against a host that fills up with requests of one key.
#[test]
fn requests_for_hot_keys_do_not_wait() {
    let rule = AdmissionRule {
        is_hot_key: true,
        ..rule()
    };

    assert_eq!(rule.longest_wait(reading(0.4)), Duration::ZERO);
}

/// Guards against an order other than by rank, then arrival, and against a request that is woken twice
/// for one slot.
#[test]
fn most_urgent_request_is_woken_first() {
    let mut queue = WaitQueue::default();
    let server = target("s1");
    let ranks = [2, 1, 0, 1];
    let tickets: Vec<_> = ranks
        .iter()
        .map(|rank| {
            queue
                .enter(server.clone(), RouteRank(*rank), 100)
                .expect("room")
        })
        .collect();
    queue.enter(target("s2"), RouteRank(0), 100).expect("room");

    let woken: Vec<_> = std::iter::from_fn(|| queue.wake_next(&server)).collect();

    assert_eq!(woken, [tickets[2], tickets[1], tickets[3], tickets[0]]);
    queue.wait_on(tickets[3]);
    assert_eq!(queue.wake_next(&server), Some(tickets[3]));
}

/// Guards against a host that wakes a request whose caller has disconnected instead of one that waits.
#[test]
fn request_that_has_left_is_not_woken() {
    let mut queue = WaitQueue::default();
    let server = target("s1");
    let first = queue.enter(server.clone(), RouteRank(0), 1).expect("room");
    let second = queue.enter(server.clone(), RouteRank(0), 1).expect("room");

    queue.leave(first);

    assert_eq!(queue.wake_next(&server), Some(second));
    assert_eq!(queue.len(), 1);
}

/// Load: more requests, or larger ones, than the host may hold. Guards against a host that runs out of
/// memory.
#[rstest]
#[case::number(100, 64)]
#[case::bytes(360 << 10, 11)]
fn queue_is_bounded(#[case] bytes: usize, #[case] most: usize) {
    let mut queue = WaitQueue::default();

    let entered = (0..1_000).filter_map(|_| queue.enter(target("s1"), RouteRank(2), bytes));

    assert_eq!(entered.count(), most);
    assert!(!queue.is_empty());
}
