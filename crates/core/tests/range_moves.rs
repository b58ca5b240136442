//! Tests which ranges move under which load.

use {
    camphorcove_core::{
        ownership::{
            AssignableServer, KeyRange, RangeLoad, RangeMove, RangePhase, RangeRecord,
            ServerInstance, ServiceOwners, choose_moves,
        },
        time::BootTime,
    },
    rstest::rstest,
};

fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("s-{number}").parse().expect("valid id"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    }
}

fn server(number: u16, capacity: f32) -> AssignableServer {
    AssignableServer {
        instance: instance(number),
        capacity,
        empty: false,
        zone: "a".parse().expect("valid zone"),
    }
}

fn owned(range: KeyRange, number: u16) -> RangeRecord {
    RangeRecord {
        range,
        phase: RangePhase::Owned {
            owner: instance(number),
            token: 1,
        },
    }
}

/// One range for each server, in order.
fn even(servers: u16) -> Vec<RangeRecord> {
    let ranges = KeyRange::ALL.divide(usize::from(servers));
    (0..servers)
        .zip(ranges)
        .map(|(number, range)| owned(range, number))
        .collect()
}

fn load(keys: &[(u16, u32)]) -> RangeLoad {
    let mut load = RangeLoad::new(BootTime::default());
    for (key, requests) in keys {
        load.add(*key, *requests);
    }
    load
}

/// Load of each server after the moves.
fn loads(records: &[RangeRecord], moves: &[RangeMove], load: &RangeLoad) -> Vec<f32> {
    let mut loads = vec![0.0; records.len()];
    for (key, count) in load.keys(KeyRange::ALL).iter().enumerate() {
        let key = u16::try_from(key).expect("16 bits");
        let moved = moves.iter().find(|planned| planned.range.contains(key));
        let holder = records.iter().find(|record| record.range.contains(key));
        let owner = match (moved, holder.map(|record| &record.phase)) {
            (Some(planned), _) => &planned.target,
            (None, Some(RangePhase::Owned { owner, .. })) => owner,
            _ => continue,
        };
        let at = (0..records.len()).find(|at| instance(*at as u16) == *owner);
        loads[at.expect("a server")] += count;
    }
    loads
}

/// Load: none yet. Guards against a first assignment that leaves out keys or servers.
#[rstest]
#[case(1)]
#[case(5)]
#[case(12)]
fn first_assignment_covers_all_keys_evenly(#[case] servers: u16) {
    let records = [RangeRecord {
        range: KeyRange::ALL,
        phase: RangePhase::Free,
    }];
    let assignable: Vec<_> = (0..servers).map(|number| server(number, 10.0)).collect();

    let moves = choose_moves(&records, &load(&[]), &assignable);

    let keys: u32 = moves.iter().map(|planned| planned.range.keys()).sum();
    let largest = moves.iter().map(|planned| planned.range.keys()).max();
    assert_eq!(keys, 65_536);
    assert!(largest <= Some(65_536 / u32::from(servers) * 5 / 4));
}

/// Load: 200 adjacent keys get most requests. Guards against a hot range that stays on one
/// server.
#[test]
fn hot_range_is_spread_over_servers() {
    let records = even(6);
    let mut keys: Vec<(u16, u32)> = (100..300).map(|key| (key, 2)).collect();
    keys.extend((0..600).map(|at| (at * 109, 1)));
    let load = load(&keys);
    let assignable: Vec<_> = (0..6).map(|number| server(number, 250.0)).collect();

    let moves = choose_moves(&records, &load, &assignable);

    let after = loads(&records, &moves, &load);
    let highest = after.iter().copied().fold(0.0, f32::max);
    assert!(highest < 260.0, "{after:?}");
}

/// Load: even, or light. Guards against moves that interrupt keys without a benefit.
#[rstest]
#[case::even(20, 100.0)]
#[case::light(1, 10_000.0)]
fn even_or_light_load_moves_nothing(#[case] each: u32, #[case] capacity: f32) {
    let records = even(4);
    let mut keys: Vec<(u16, u32)> = (0..64).map(|at| (at * 1_024, each)).collect();
    if each == 1 {
        keys.push((5, 300));
    }
    let assignable: Vec<_> = (0..4).map(|number| server(number, capacity)).collect();

    let moves = choose_moves(&records, &load(&keys), &assignable);

    assert_eq!(moves, Vec::new());
}

/// Load: a server has left. Guards against keys that remain assigned to it, and against
/// moves of keys whose owner is still present.
#[test]
fn only_keys_of_the_server_that_left_move() {
    let records = even(4);
    let assignable = [server(0, 100.0), server(1, 100.0), server(3, 100.0)];
    let keys: Vec<(u16, u32)> = (0..64).map(|at| (at * 1_024, 1)).collect();

    let moves = choose_moves(&records, &load(&keys), &assignable);

    let keys: u32 = moves.iter().map(|planned| planned.range.keys()).sum();
    assert_eq!(keys, records[2].range.keys());
    assert!(
        moves
            .iter()
            .all(|planned| records[2].range.overlaps(planned.range))
    );
}

/// Load: a server has joined. Guards against a new server that never gets keys.
#[test]
fn server_that_joined_gets_keys() {
    let records = even(3);
    let mut joined = server(3, 100.0);
    joined.empty = true;
    let assignable = [server(0, 100.0), server(1, 100.0), server(2, 100.0), joined];
    let keys: Vec<(u16, u32)> = (0..64).map(|at| (at * 1_024, 1)).collect();

    let moves = choose_moves(&records, &load(&keys), &assignable);

    assert!(!moves.is_empty());
    assert!(moves.iter().all(|planned| planned.target == instance(3)));
}

/// Records after the moves.
fn moved(records: &[RangeRecord], moves: &[RangeMove]) -> Vec<RangeRecord> {
    let mut owners = ServiceOwners {
        next_token: 1,
        ranges: records.to_vec(),
    };
    for planned in moves {
        for at in owners.isolate(planned.range) {
            owners.ranges[at].phase = RangePhase::Owned {
                owner: planned.target.clone(),
                token: 1,
            };
        }
    }
    owners.merge();
    owners.ranges
}

/// Utilization of the busiest server.
fn busiest(records: &[RangeRecord], load: &RangeLoad, assignable: &[AssignableServer]) -> f32 {
    let mut most = 0.0_f32;
    for server in assignable {
        let mut sum = 0.0;
        for record in records {
            let owner = match &record.phase {
                RangePhase::Owned { owner, .. } => owner,
                RangePhase::Moving { .. } | RangePhase::Free => continue,
            };
            if *owner == server.instance {
                sum += load.of(record.range);
            }
        }
        most = most.max(sum / server.capacity);
    }
    most
}

/// Load: adjacent keys of one server suddenly get several times the load that it can serve.
/// Guards against moves that only halve the excess in each round, so that requests for
/// these keys are refused until the load ends.
#[rstest]
#[case::sixty_hot_keys(60, 8)]
#[case::two_hundred_warm_keys(200, 2)]
fn adjacent_hot_keys_are_spread_in_one_round(#[case] hot: u16, #[case] requests: u32) {
    let mut records = even(40);
    let speeds = [28.0, 40.0, 64.0];
    let assignable: Vec<AssignableServer> = (0..40)
        .map(|number| server(number, speeds[usize::from(number) % 3]))
        .collect();
    let mut keys: Vec<(u16, u32)> = (0..640).map(|at| (at * 102, 1)).collect();
    keys.extend((0..hot).map(|at| (60_000 + at, requests)));
    let load = load(&keys);
    let before = busiest(&records, &load, &assignable);

    let moves = choose_moves(&records, &load, &assignable);
    records = moved(&records, &moves);

    let after = busiest(&records, &load, &assignable);
    assert!(
        before > 6.0,
        "the server is not overloaded before the moves: {before}"
    );
    assert!(
        after <= 1.0,
        "busiest server at {after} after {} moves",
        moves.len()
    );
}

/// Load: one key gets more requests than its server can serve. Guards against a hot key that
/// stays on a slow server, and against one that keeps moving.
#[test]
fn hot_key_goes_to_the_fastest_server_and_stays() {
    let records = even(6);
    let speeds = [15.0, 25.0, 40.0];
    let assignable: Vec<AssignableServer> = (0..6)
        .map(|number| server(number, speeds[usize::from(number) % 3]))
        .collect();
    let mut keys: Vec<(u16, u32)> = (0..64).map(|at| (at * 1_024, 1)).collect();
    keys.push((5_000, 50));
    let load = load(&keys);

    let first = choose_moves(&records, &load, &assignable);
    let records = moved(&records, &first);
    let second = choose_moves(&records, &load, &assignable);

    let target = |moves: &[RangeMove]| {
        let found = moves.iter().find(|planned| planned.range.contains(5_000));
        found.map(|planned| planned.target.clone())
    };
    assert!([Some(instance(2)), Some(instance(5))].contains(&target(&first)));
    assert_eq!(target(&second), None);
}
