//! Load balancing: load reports, failures, ejection, slow start and the choice of servers.

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

/// Number of times that each server is chosen in 10,000 choices.
fn choice_counts(trackers: &[LoadTracker], weights: &[u32], now: BootTime) -> Vec<u32> {
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
    let random = SeededRandom::new(SEED);
    let mut choice_counts = vec![0; trackers.len()];
    for _ in 0..10_000 {
        let index = choose_server(&candidates, random.draw(), now).expect("a server");
        choice_counts[index] += 1;
    }
    choice_counts
}

fn busy(in_flight: u32, queued: u32) -> LoadReport {
    LoadReport { in_flight, queued }
}

fn record_failures(tracker: &LoadTracker, count: u32, now: BootTime) {
    for _ in 0..count {
        tracker.record_failure(now);
    }
}

#[test]
fn no_candidate_gives_no_choice() {
    assert_eq!(choose_server(&[], 5, START), None);
}

#[test]
fn the_busier_of_two_is_never_chosen() {
    let trackers = trackers(2);
    trackers[0].report(busy(3, 4), START);

    assert_eq!(choice_counts(&trackers, &[100, 100], START), [0, 10_000]);
}

/// Queued requests count like running ones, and load is relative to weight.
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

    assert_eq!(choice_counts(&trackers, weights, START)[chosen], 10_000);
}

/// Guards against an outdated report of high load that keeps a server out of use.
#[test]
fn a_report_decays_with_its_age() {
    let trackers = trackers(2);
    trackers[0].report(busy(3, 20), START);
    trackers[1].report(busy(2, 0), START + Duration::from_secs(5));

    let choice_counts = choice_counts(&trackers, &[100, 100], START + Duration::from_secs(5));

    assert_eq!(choice_counts[0], 10_000);
}

/// Guards against bursts to one server: a host's own requests count before a report includes them.
#[test]
fn own_requests_count_at_once() {
    let trackers = trackers(2);
    trackers[0].begin();
    assert_eq!(choice_counts(&trackers, &[100, 100], START), [0, 10_000]);

    trackers[0].end();
    trackers[1].begin();
    assert_eq!(choice_counts(&trackers, &[100, 100], START), [10_000, 0]);
}

/// Guards against a server that attracts requests because it fails them fast and so looks idle.
#[rstest]
#[case::one_failure(1)]
#[case::before_ejection(4)]
fn a_fast_failure_counts_as_a_slow_request(#[case] failures: u32) {
    let trackers = trackers(2);
    record_failures(&trackers[0], failures, START);
    trackers[1].report(busy(2, 0), START);

    assert_eq!(choice_counts(&trackers, &[100, 100], START), [0, 10_000]);
}

#[test]
fn a_shedding_server_looks_busy_but_is_not_ejected() {
    let trackers = trackers(2);
    for _ in 0..20 {
        trackers[0].record_shed(START);
    }

    assert!(!trackers[0].is_ejected(START));
    assert_eq!(choice_counts(&trackers, &[100, 100], START), [0, 10_000]);
}

#[test]
fn ejection_ends_and_grows_when_repeated() {
    let tracker = LoadTracker::default();
    record_failures(&tracker, 5, START);
    let second = START + Duration::from_secs(1);

    assert!(tracker.is_ejected(second.minus(Duration::from_millis(1))));
    assert!(!tracker.is_ejected(second));
    tracker.record_failure(second);
    assert!(tracker.is_ejected(second + Duration::from_millis(1_999)));
    assert!(!tracker.is_ejected(second + Duration::from_secs(2)));
}

#[test]
fn a_success_resets_consecutive_failures() {
    let tracker = LoadTracker::default();
    record_failures(&tracker, 4, START);
    tracker.record_success();
    record_failures(&tracker, 4, START);

    assert!(!tracker.is_ejected(START));
}

/// Guards against ejecting all servers when the cause of the failures is elsewhere: half stay in use.
#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(5, 3)]
#[case(6, 3)]
fn at_most_half_are_ejected(#[case] count: usize, #[case] in_use: usize) {
    let trackers = trackers(count);
    for tracker in &trackers {
        record_failures(tracker, 5, START);
    }

    let choice_counts = choice_counts(&trackers, &vec![100; count], START);

    assert_eq!(
        choice_counts.iter().filter(|times| **times > 0).count(),
        in_use
    );
}

/// Guards against a cold server that receives its full share of requests at once.
#[test]
fn a_new_server_starts_slowly() {
    let old = LoadTracker::default();
    let new = LoadTracker::new(START);
    let weight = |millis: u64| new.weight(100, START + Duration::from_millis(millis));

    assert_eq!(old.weight(100, START), 100_000);
    assert_eq!(weight(0), 10_000);
    assert_eq!(weight(5_000), 55_000);
    assert_eq!(weight(10_000), 100_000);
}

/// If each choice counts toward the load, 12 servers of two speeds get requests by weight.
#[test]
fn requests_follow_weights() {
    let trackers = trackers(12);
    let weights: Vec<u32> = (0..12)
        .map(|index| if index < 4 { 200 } else { 100 })
        .collect();
    let random = SeededRandom::new(SEED);
    let candidates: Vec<ServerCandidate<'_>> = (0..12)
        .map(|index| ServerCandidate {
            index,
            weight: weights[index],
            tracker: &trackers[index],
        })
        .collect();
    let mut counts = [0_u64; 12];

    for _ in 0..1_600 {
        let index = choose_server(&candidates, random.draw(), START).expect("a server");
        trackers[index].begin();
        counts[index] += 1;
    }

    // 1,600 requests over a total weight of 16 are 100 per 100 of weight.
    for (count, weight) in counts.iter().zip(&weights) {
        let per_weight = count * 100 / u64::from(*weight);
        assert!((90..=110).contains(&per_weight), "seed {SEED}: {counts:?}");
    }
}
