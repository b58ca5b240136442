//! Keys that cold servers get, whose capacity is capped.

use {
    camphorcove_core::{
        ownership::{
            AssignableServer, KeyRange, RangeLoad, RangePhase, RangeRecord, ServerInstance,
            choose_moves,
        },
        time::BootTime,
    },
    rstest::rstest,
};

/// Load that a warm and a cold server take.
const WARM: f32 = 100.0;
const COLD: f32 = 30.0;

/// Key with more requests than a cold server takes.
const HOT_LOAD: u32 = 60;

/// Number of keys with few requests each, all in the second quarter of the keys, and their requests.
const USUAL_KEYS: u16 = 200;
const USUAL_LOAD: u32 = 2;

/// First key of the second quarter.
const SECOND_QUARTER: u16 = 16_384;

fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("s-{number}").parse().expect("valid id"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    }
}

/// Four warm servers and, after them, four cold ones that own nothing.
fn servers() -> Vec<AssignableServer> {
    let server = |number: u16| AssignableServer {
        instance: instance(number),
        capacity: if number < 4 { WARM } else { COLD },
        empty: number >= 4,
        zone: "a".parse().expect("valid zone"),
    };
    (0..8).map(server).collect()
}

fn load(hot_key: u16) -> RangeLoad {
    let mut load = RangeLoad::new(BootTime::default());
    load.add(hot_key, HOT_LOAD);
    for number in 0..USUAL_KEYS {
        load.add(SECOND_QUARTER + 1 + number * 81, USUAL_LOAD);
    }
    load
}

fn records(phase: impl Fn(u16) -> RangePhase) -> Vec<RangeRecord> {
    let ranges = KeyRange::ALL.divide(4);
    let record = |(number, range)| RangeRecord {
        range,
        phase: phase(number),
    };
    (0..4).zip(ranges).map(record).collect()
}

fn owned(number: u16) -> RangePhase {
    RangePhase::Owned {
        owner: instance(number),
        token: 1,
    }
}

/// The second quarter has no owner.
fn second_free(number: u16) -> RangePhase {
    match number {
        1 => RangePhase::Free,
        _ => owned(number),
    }
}

/// Load: keys of which one has more requests than a cold server takes, while half of the servers are cold,
/// as after the end of an evacuation. Guards against a cold server that gets that key, or more load than
/// it takes, and against cold servers that get no keys at all.
#[rstest]
#[case::owned_by_a_busy_server(SECOND_QUARTER + 8_000, records(owned))]
#[case::without_owner(SECOND_QUARTER, records(second_free))]
fn cold_server_gets_keys_but_no_hot_one(#[case] hot_key: u16, #[case] records: Vec<RangeRecord>) {
    let load = load(hot_key);
    let mut servers = servers();
    // The least busy of equally busy servers is the first one.
    servers.reverse();

    let moves = choose_moves(&records, &load, &servers);

    let mut cold_loads = [0.0; 4];
    for planned in &moves {
        let cold = (4..8).find(|number| instance(*number) == planned.target);
        if let Some(number) = cold {
            assert!(!planned.range.contains(hot_key), "cold server {number}");
            cold_loads[usize::from(number) - 4] += load.of(planned.range);
        }
    }
    let limit = COLD + USUAL_LOAD as f32;
    assert!(
        cold_loads.iter().all(|load| *load <= limit),
        "{cold_loads:?}"
    );
    assert!(cold_loads.iter().any(|load| *load > 0.0), "{cold_loads:?}");
}

/// Load: adjacent keys that each have more requests than a cold server takes. Guards against a busy server
/// that keeps all of them because the least busy servers are cold.
#[test]
fn hot_keys_are_spread_over_warm_servers_beside_idle_cold_ones() {
    let mut load = RangeLoad::new(BootTime::default());
    for number in 0..10 {
        load.add(SECOND_QUARTER + 8_000 + number, HOT_LOAD);
    }

    let moves = choose_moves(&records(owned), &load, &servers());

    let moved: f32 = moves.iter().map(|planned| load.of(planned.range)).sum();
    let total = load.of(KeyRange::ALL);
    assert!(moved >= total * 0.5, "{moved} of {total} moved");
    for planned in &moves {
        let is_warm = (0..4).any(|number| instance(number) == planned.target);
        assert!(is_warm || load.of(planned.range) <= COLD, "{planned:?}");
    }
}
