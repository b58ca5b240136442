//! Tests that ranges which move go to the zone from which their requests come.

use {
    camphorcove_core::{
        ids::ZoneName,
        ownership::{
            AssignableServer, KeyRange, RangeLoad, RangePhase, RangeRecord, ServerInstance,
            choose_moves,
        },
        time::BootTime,
    },
    rstest::rstest,
};

const SERVERS: u16 = 12;

fn zone(number: u16) -> ZoneName {
    format!("zone-{}", number % 3).parse().expect("valid zone")
}

fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("s-{number}").parse().expect("valid id"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    }
}

/// Servers of equal capacity; each zone has every third.
fn servers() -> Vec<AssignableServer> {
    (0..SERVERS)
        .map(|number| AssignableServer {
            instance: instance(number),
            capacity: 100.0,
            empty: false,
            zone: zone(number),
        })
        .collect()
}

/// One range for each server.
fn records() -> Vec<RangeRecord> {
    let ranges = KeyRange::ALL.divide(usize::from(SERVERS));
    (0..SERVERS)
        .zip(ranges)
        .map(|(number, range)| RangeRecord {
            range,
            phase: RangePhase::Owned {
                owner: instance(number),
                token: 1,
            },
        })
        .collect()
}

/// Even load; `hot` requests for each of 4 keys of server 0, all from `from`.
fn load(from: &ZoneName, hot: u32) -> RangeLoad {
    let mut load = RangeLoad::new(BootTime::default());
    for key in 0..480 {
        load.add_from(&zone(key), key * 136, 1);
    }
    for key in 0..4 {
        load.add_from(from, 1_000 + key * 20, hot);
    }
    load
}

/// Load: hot keys that all hosts of one zone ask for. Guards against moves of these keys to servers of
/// other zones, whose traffic is slower and charged, although servers of the zone have as much room.
#[rstest]
#[case::in_groups(1, 20)]
#[case::one_by_one(2, 30)]
fn hot_keys_move_to_the_zone_of_their_requests(#[case] number: u16, #[case] hot: u32) {
    let load = load(&zone(number), hot);

    let moves = choose_moves(&records(), &load, &servers());

    assert!(moves.len() >= 3, "{moves:?}");
    for planned in &moves {
        let found = servers().into_iter();
        let mut targets = found.filter(|server| server.instance == planned.target);
        let target_zone = targets.next().map(|server| server.zone);
        assert_eq!(target_zone, Some(zone(number)), "{planned:?}");
    }
}

/// Load: even, and all requests of a range come from another zone than its owner's. Guards against
/// moves for the zone alone: each interrupts keys and is charged.
#[test]
fn nothing_moves_for_the_zone_alone() {
    let load = load(&zone(1), 1);

    let moves = choose_moves(&records(), &load, &servers());

    assert_eq!(moves, Vec::new());
}

/// Load: a fleet whose hosts do not name their zones, and hosts that name very many. Guards against a
/// choice that fails without zones, and against memory that grows with the names.
#[test]
fn zones_are_bounded_and_optional() {
    let mut load = RangeLoad::new(BootTime::default());
    load.add(5, 10);
    for number in 0..1_000 {
        let odd = format!("odd-{number}").parse().expect("valid zone");
        load.add_from(&odd, 70, 1);
    }

    let unknown = load.main_zone(KeyRange { first: 0, last: 9 });
    let counted = load.of(KeyRange {
        first: 64,
        last: 79,
    });

    assert_eq!(unknown, None);
    assert!((counted - 1_000.0).abs() < 0.1);
}
