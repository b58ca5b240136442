//! Tests the differences between versions of a routing map.

use {
    camphorcove_core::{
        ids::{ConfigVersion, Epoch, FencingToken},
        map::{MapVersion, RoutingMap, ServerEntry, ServerPhase, ShardEntry},
    },
    camphorcove_net::peer::{MapDelta, decode, encode},
    proptest::prelude::*,
};

const SHARDS: usize = 64;

fn map(revision: u64, owners: &[u16], servers: u16) -> RoutingMap {
    let shard = |owner: &u16| ShardEntry {
        owner: Some(*owner),
        token: FencingToken {
            epoch: Epoch(3),
            sequence: u64::from(*owner),
        },
        moving: owner % 2 == 1,
    };
    let server = |number: u16| ServerEntry {
        id: format!("s{number}").parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        weight: 100,
        slots: 3,
        connections: 120,
        phase: ServerPhase::Ready,
        forwarder: None,
    };
    RoutingMap {
        service: "rutas".parse().unwrap(),
        version: MapVersion {
            epoch: Epoch(3),
            revision,
        },
        config: ConfigVersion(revision),
        controller: format!("host{servers}").parse().unwrap(),
        servers: (0..servers).map(server).collect(),
        shards: owners.iter().map(shard).collect(),
    }
}

proptest! {
    /// Guards against a host that computes another map than its controller published.
    #[test]
    fn changes_lead_to_the_newer_map(
        old in proptest::collection::vec(0_u16..3, SHARDS),
        changed in proptest::collection::vec((0..SHARDS, 0_u16..9), 0..SHARDS / 2),
        servers in (1_u16..5, 1_u16..5),
    ) {
        let mut new = old.clone();
        for (index, owner) in changed {
            new[index] = owner;
        }
        let (base, next) = (map(1, &old, servers.0), map(2, &new, servers.1));

        if let Some(delta) = MapDelta::between(&base, &next) {
            let delta: MapDelta = decode(&encode(&delta)).unwrap();
            prop_assert_eq!(delta.apply(&base), Some(next));
        }
    }
}

/// Guards against applying changes to another version than they were computed from.
#[test]
fn another_base_is_refused() {
    let base = map(1, &[0; SHARDS], 2);
    let mut new = [0; SHARDS];
    new[5] = 1;
    let next = map(3, &new, 2);
    let delta = MapDelta::between(&base, &next).unwrap();

    assert_eq!(delta.apply(&map(2, &[0; SHARDS], 2)), None);
}

/// Guards against a difference between maps with different numbers of shards.
#[test]
fn other_number_of_shards_needs_a_whole_map() {
    assert_eq!(
        MapDelta::between(&map(1, &[0; 64], 2), &map(2, &[0; 32], 2)),
        None
    );
}

/// Guards against sending a small change in as many bytes as the whole map.
#[test]
fn one_change_is_small() {
    let base = map(1, &[0; 4_096], 12);
    let mut new = [0; 4_096];
    new[5] = 1;
    let next = map(2, &new, 12);
    let delta = MapDelta::between(&base, &next).unwrap();

    assert!(encode(&delta).len() < 256, "{}", encode(&delta).len());
    assert!(encode(&next).len() > 20_000);
}
