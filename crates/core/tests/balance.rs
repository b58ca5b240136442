//! Choice of servers: load, stale reports, failures, ejection and slow start.

use {
    camphorcove_core::{
        balance::{LoadReport, LoadTracker, ServerCandidate, choose_server},
        retry::SeededRandom,
        time::BootTime,
    },
    rstest::rstest,
    std::time::Duration,
};

const SEED: u64 = 11;
const START: BootTime = BootTime::from_millis(100_000);

fn trackers(count: usize) -> Vec<LoadTracker> {
    (0..count).map(|_| LoadTracker::default()).collect()
}

/// How often each server is chosen in 10,000 choices.
fn shares(trackers: &[LoadTracker], weights: &[u32], now: BootTime) -> Vec<u32> {
    let candidates: Vec<ServerCandidate<'_>> = trackers
        .iter()
        .zip(weights)
        .enumerate()
        .map(|(index, (tracker, weight))| ServerCandidate {
            index,
            weight: *weight,
            tracker,
        })
        .collect();
    let draws = SeededRandom::new(SEED);
    let mut shares = vec![0; trackers.len()];
    for _ in 0..10_000 {
        let index = choose_server(&candidates, draws.draw(), now).expect("a server");
        shares[index] += 1;
    }
    shares
}

fn busy(in_flight: u32, queued: u32) -> LoadReport {
    LoadReport { in_flight, queued }
}

fn fail_times(tracker: &LoadTracker, count: u32, now: BootTime) {
    for _ in 0..count {
        tracker.fail(now);
    }
}

#[test]
fn no_server_no_choice() {
    assert_eq!(choose_server(&[], 5, START), None);
}

#[test]
fn the_busier_of_two_is_never_chosen() {
    let trackers = trackers(2);
    trackers[0].report(busy(3, 4), START);

    assert_eq!(shares(&trackers, &[100, 100], START), [0, 10_000]);
}

/// Queued requests count like running ones, per weight.
#[rstest]
#[case::queue_counts(busy(0, 6), busy(5, 0), &[100, 100], 1)]
#[case::fast_server_takes_more(busy(5, 0), busy(3, 0), &[200, 100], 0)]
fn load_is_in_flight_and_queue_per_weight(
    #[case] first: LoadReport,
    #[case] second: LoadReport,
    #[case] weights: &[u32],
    #[case] chosen: usize,
) {
    let trackers = trackers(2);
    trackers[0].report(first, START);
    trackers[1].report(second, START);

    assert_eq!(shares(&trackers, weights, START)[chosen], 10_000);
}

/// An old report must not keep a server out of use.
#[test]
fn a_report_fades_with_its_age() {
    let trackers = trackers(2);
    trackers[0].report(busy(3, 20), START);
    trackers[1].report(busy(2, 0), START + Duration::from_secs(5));

    let shares = shares(&trackers, &[100, 100], START + Duration::from_secs(5));

    assert_eq!(shares[0], 10_000);
}

/// A host sees its own requests before any report says so.
#[test]
fn own_requests_count_at_once() {
    let trackers = trackers(2);
    trackers[0].begin();
    assert_eq!(shares(&trackers, &[100, 100], START), [0, 10_000]);

    trackers[0].end();
    trackers[1].begin();
    assert_eq!(shares(&trackers, &[100, 100], START), [10_000, 0]);
}

/// A server that fails fast is always idle; that must not attract load.
#[rstest]
#[case::one_failure(1)]
#[case::before_ejection(4)]
fn a_fast_failure_counts_as_a_slow_request(#[case] failures: u32) {
    let trackers = trackers(2);
    fail_times(&trackers[0], failures, START);
    trackers[1].report(busy(2, 0), START);

    assert_eq!(shares(&trackers, &[100, 100], START), [0, 10_000]);
}

#[test]
fn a_shedding_server_looks_busy_but_is_not_ejected() {
    let trackers = trackers(2);
    for _ in 0..20 {
        trackers[0].shed(START);
    }

    assert!(!trackers[0].ejected(START));
    assert_eq!(shares(&trackers, &[100, 100], START), [0, 10_000]);
}

#[test]
fn ejection_ends_and_grows_when_repeated() {
    let tracker = LoadTracker::default();
    fail_times(&tracker, 5, START);
    let second = START + Duration::from_secs(1);

    assert!(tracker.ejected(second.minus(Duration::from_millis(1))));
    assert!(!tracker.ejected(second));
    tracker.fail(second);
    assert!(tracker.ejected(second + Duration::from_millis(1_999)));
    assert!(!tracker.ejected(second + Duration::from_secs(2)));
}

#[test]
fn a_success_ends_a_row_of_failures() {
    let tracker = LoadTracker::default();
    fail_times(&tracker, 4, START);
    tracker.succeed();
    fail_times(&tracker, 4, START);

    assert!(!tracker.ejected(START));
}

/// If all servers fail, the cause is elsewhere, and half of them must stay in use.
#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(5, 3)]
#[case(6, 3)]
fn at_most_half_are_ejected(#[case] count: usize, #[case] in_use: usize) {
    let trackers = trackers(count);
    for tracker in &trackers {
        fail_times(tracker, 5, START);
    }

    let shares = shares(&trackers, &vec![100; count], START);

    assert_eq!(shares.iter().filter(|share| **share > 0).count(), in_use);
}

/// A cold server must not get its whole share at once.
#[test]
fn a_new_server_ramps_up() {
    let old = LoadTracker::default();
    let new = LoadTracker::new(START);
    let weight = |millis: u64| new.weight(100, START + Duration::from_millis(millis));

    assert_eq!(old.weight(100, START), 100_000);
    assert_eq!(weight(0), 10_000);
    assert_eq!(weight(5_000), 55_000);
    assert_eq!(weight(10_000), 100_000);
}

/// With feedback, 12 servers of two speeds end up evenly loaded per weight.
#[test]
fn load_per_weight_evens_out() {
    let trackers = trackers(12);
    let weights: Vec<u32> = (0..12)
        .map(|index| if index < 4 { 200 } else { 100 })
        .collect();
    let draws = SeededRandom::new(SEED);
    let candidates: Vec<ServerCandidate<'_>> = (0..12)
        .map(|index| ServerCandidate {
            index,
            weight: weights[index],
            tracker: &trackers[index],
        })
        .collect();
    let mut counts = [0_u64; 12];

    for _ in 0..1_600 {
        let index = choose_server(&candidates, draws.draw(), START).expect("a server");
        trackers[index].begin();
        counts[index] += 1;
    }

    // 1,600 requests over a total weight of 16 are 100 per 100 of weight.
    for (count, weight) in counts.iter().zip(&weights) {
        let per_weight = count * 100 / u64::from(*weight);
        assert!((90..=110).contains(&per_weight), "seed {SEED}: {counts:?}");
    }
}
