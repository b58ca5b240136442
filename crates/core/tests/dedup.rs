//! Deduplication by idempotency key: window, capacity and changes of the home host.

use {
    camphorcove_core::{
        dedup::{DedupCoverage, IdVerdict, IdWindow, home_host},
        ids::{ConfigVersion, Epoch, FencingToken, HostId, ShardId},
        map::{MapVersion, RoutingMap, ServerEntry, ServerPhase, ShardEntry},
        outcome::Execution,
        time::BootTime,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::{collections::HashMap, time::Duration},
};

const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> BootTime {
    BootTime::from_millis(seconds * 1_000)
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

/// A map with one server per forwarder; all shards belong to the first server.
fn map(revision: u64, forwarders: &[usize], sequence: u64) -> RoutingMap {
    let server = |(index, forwarder): (usize, &usize)| ServerEntry {
        id: format!("s-{index}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        weight: 100,
        slots: 1,
        connections: 1,
        phase: ServerPhase::Ready,
        forwarder: Some(host(*forwarder)),
    };
    let token = FencingToken {
        epoch: Epoch(1),
        sequence,
    };
    RoutingMap {
        service: "s".parse().unwrap(),
        version: MapVersion {
            epoch: Epoch(1),
            revision,
        },
        config: ConfigVersion(1),
        controller: host(0),
        servers: forwarders.iter().enumerate().map(server).collect(),
        shards: vec![
            ShardEntry {
                owner: Some(0),
                token,
                moving: false,
            };
            4
        ],
    }
}

#[test]
fn a_repeat_gets_the_stored_execution_within_the_window() {
    let mut window = IdWindow::new(WINDOW, 10);
    assert_eq!(window.begin("a", true, at(0)), IdVerdict::New);
    assert_eq!(window.begin("a", true, at(1)), IdVerdict::Running);
    window.end("a", Execution::Ran, at(5));

    assert_eq!(
        window.begin("a", true, at(15)),
        IdVerdict::Ended(Execution::Ran)
    );
    assert_eq!(window.begin("a", true, at(16)), IdVerdict::New);
}

#[test]
fn an_id_that_did_not_run_may_come_again() {
    let mut window = IdWindow::new(WINDOW, 10);
    window.begin("a", true, at(0));
    window.end("a", Execution::NotRun, at(1));

    assert_eq!(window.begin("a", true, at(2)), IdVerdict::New);
}

/// Evicting an id early would let it run twice, so a new id is refused instead.
#[test]
fn a_full_window_refuses_new_ids_and_forgets_none() {
    let mut window = IdWindow::new(WINDOW, 2);
    window.begin("a", true, at(0));
    window.begin("b", true, at(0));
    window.end("a", Execution::Ran, at(1));

    assert_eq!(window.begin("c", true, at(2)), IdVerdict::Full);
    assert_eq!(
        window.begin("a", true, at(2)),
        IdVerdict::Ended(Execution::Ran)
    );
    assert_eq!(window.begin("c", true, at(12)), IdVerdict::New);
}

/// A known id is answered even by a host that does not cover the whole window.
#[test]
fn an_unknown_id_needs_coverage() {
    let mut window = IdWindow::new(WINDOW, 10);
    window.begin("a", true, at(0));

    assert_eq!(window.begin("a", false, at(1)), IdVerdict::Running);
    assert_eq!(window.begin("b", false, at(1)), IdVerdict::NotCovered);
}

/// A first map is observed at 0 s, perhaps others at 15 and 16 s, and a request arrives at 20 s with
/// a window of 10 s.
#[rstest]
#[case::nothing(None, None, true)]
#[case::other_server_moved(Some(map(2, &[0, 2, 3], 1)), None, true)]
#[case::forwarder_changed(Some(map(2, &[1, 1, 2], 1)), None, false)]
#[case::owner_changed_and_came_back(Some(map(2, &[0, 1, 2], 2)), None, false)]
#[case::home_came_back(Some(map(2, &[1, 1, 2], 1)), Some(map(3, &[0, 1, 2], 1)), false)]
fn a_shard_is_covered_while_owner_and_forwarder_stay(
    #[case] second: Option<RoutingMap>,
    #[case] third: Option<RoutingMap>,
    #[case] covered: bool,
) {
    let mut coverage = DedupCoverage::new(host(0), WINDOW, false);
    coverage.observe(&map(1, &[0, 1, 2], 1), at(100), at(0));
    for (map, seconds) in second
        .into_iter()
        .zip([15])
        .chain(third.into_iter().zip([16]))
    {
        coverage.observe(&map, at(100), at(seconds));
    }

    assert_eq!(coverage.covers(Some(ShardId(0)), "id", at(20)), covered);
}

#[test]
fn coverage_starts_a_window_after_the_first_map() {
    let mut coverage = DedupCoverage::new(host(0), WINDOW, false);
    coverage.observe(&map(1, &[0], 1), at(100), at(5));

    assert!(!coverage.covers(Some(ShardId(0)), "id", at(14)));
    assert!(coverage.covers(Some(ShardId(0)), "id", at(15)));
    assert!(!coverage.covers(None, "id", at(14)));
    assert!(coverage.covers(None, "id", at(15)));
}

/// Without a valid map other hosts may have been home hosts, so coverage restarts.
#[test]
fn a_gap_in_validity_ends_coverage() {
    let mut coverage = DedupCoverage::new(host(0), WINDOW, true);
    coverage.observe(&map(1, &[0], 1), at(20), at(0));
    assert!(coverage.covers(Some(ShardId(0)), "id", at(19)));
    assert!(!coverage.covers(Some(ShardId(0)), "id", at(20)));

    coverage.observe(&map(1, &[0], 1), at(60), at(21));

    assert!(!coverage.covers(Some(ShardId(0)), "id", at(22)));
    assert!(!coverage.covers(None, "id", at(22)));
    assert!(coverage.covers(Some(ShardId(0)), "id", at(31)));
    assert!(coverage.covers(None, "id", at(31)));
}

/// A joining host becomes the home host of some ids, and only those lose their coverage.
#[test]
fn a_change_of_forwarders_affects_only_ids_that_move() {
    let mut coverages: Vec<DedupCoverage> = (0..4)
        .map(|index| DedupCoverage::new(host(index), WINDOW, true))
        .collect();
    let (before, after) = ([0, 1, 2], [0, 1, 2, 3]);
    for coverage in &mut coverages {
        coverage.observe(&map(1, &before, 1), at(100), at(0));
        coverage.observe(&map(2, &after, 1), at(100), at(20));
    }
    let home = |id: &str, hosts: &[usize]| -> HostId {
        let hosts: Vec<HostId> = hosts.iter().map(|index| host(*index)).collect();
        home_host(id, hosts.iter()).unwrap().clone()
    };

    let mut moved = 0;
    for id in (0..200).map(|number| format!("id-{number}")) {
        let new_home = home(&id, &after);
        let stays = home(&id, &before) == new_home;
        moved += usize::from(!stays);
        for (index, coverage) in coverages.iter_mut().enumerate() {
            let expected = stays && host(index) == new_home;
            assert_eq!(
                coverage.covers(None, &id, at(25)),
                expected,
                "{id} at host {index}"
            );
        }
    }
    assert!((20..80).contains(&moved), "{moved} of 200 ids moved");

    // Once the old set of forwarders is out of the window, each id is covered by its new home host.
    for (index, coverage) in coverages.iter_mut().enumerate() {
        coverage.observe(&map(2, &after, 1), at(100), at(31));
        for id in (0..200).map(|number| format!("id-{number}")) {
            let expected = home(&id, &after) == host(index);
            assert_eq!(
                coverage.covers(None, &id, at(31)),
                expected,
                "{id} at host {index}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Within the window an id that ran, or may have, never gets `New` again.
    #[test]
    fn an_id_runs_once_per_window(
        steps in proptest::collection::vec((0_u8..6, 0_usize..4, 0_u64..4), 1..200),
        capacity in 1_usize..4,
    ) {
        let mut window = IdWindow::new(WINDOW, capacity);
        let mut running: Vec<String> = Vec::new();
        let mut ended = HashMap::<String, u64>::new();
        let mut now = 0;
        for (step, number, elapsed) in steps {
            now += elapsed;
            let id = format!("id-{number}");
            if step < 3 {
                let verdict = window.begin(&id, true, at(now));
                if verdict == IdVerdict::New {
                    let recent = ended.get(&id).is_some_and(|end| now - end <= 10);
                    prop_assert!(!running.contains(&id) && !recent, "{} at {}", id, now);
                    running.push(id);
                }
                prop_assert!(window.len() <= capacity);
                continue;
            }
            if let Some(index) = running.iter().position(|known| *known == id) {
                running.remove(index);
                let execution = [Execution::Ran, Execution::MayHaveRun, Execution::NotRun][usize::from(step) - 3];
                window.end(&id, execution, at(now));
                if execution != Execution::NotRun {
                    ended.insert(id, now);
                }
            }
        }
    }
}
