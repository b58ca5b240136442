//! Stores of a host for maps, configuration, known hosts and load counts.

use {
    camphorcove_core::{
        conf::{OperatorOrders, RegionConfig},
        control::HostInfo,
        ids::{ConfigVersion, Epoch, ServiceName, ShardId},
        map::{MapVersion, RoutingMap},
        time::{BootTime, MAP_TTL, POLL_MAX_WAIT, with_drift},
    },
    camphorcove_net::peer::{ConfigSnapshot, MapPoll, PeerAddress},
    camphorcoved::maps::{
        ConfigStore, HostTable, MapStore, ShardLoads, TimedMap, digest, is_relay, upstream_relays,
        zone_relays,
    },
    rstest::rstest,
    std::{collections::HashSet, sync::Arc, time::Duration},
};

const NOW: BootTime = BootTime::from_millis(100_000);

fn service() -> ServiceName {
    "rutas".parse().unwrap()
}

fn version(epoch: u64, revision: u64) -> MapVersion {
    MapVersion {
        epoch: Epoch(epoch),
        revision,
    }
}

fn timed_map(version: MapVersion, valid_until: BootTime) -> TimedMap {
    let map = RoutingMap {
        service: service(),
        version,
        config: ConfigVersion(1),
        controller: "host0".parse().unwrap(),
        servers: Vec::new(),
        shards: Vec::new(),
    };
    TimedMap {
        map: Arc::new(map),
        valid_until,
    }
}

fn peer(name: &str, zone: &str) -> PeerAddress {
    PeerAddress {
        host: HostInfo {
            id: name.parse().unwrap(),
            zone: zone.parse().unwrap(),
            leaving: false,
        },
        peer: "127.0.0.1:1".parse().unwrap(),
    }
}

fn poll(from: &PeerAddress, held: MapVersion) -> MapPoll {
    MapPoll {
        from: from.clone(),
        held: vec![(service(), held)],
        oldest_versions: Vec::new(),
        config: ConfigVersion(1),
        relay: true,
        live_hosts_digest: 0,
        downstream_digest: digest(&[]),
        downstream: None,
        urgent: false,
        loads: Vec::new(),
    }
}

fn config(version: u64) -> ConfigSnapshot {
    ConfigSnapshot {
        version: ConfigVersion(version),
        config: RegionConfig {
            region: "test".parse().unwrap(),
            zones: Vec::new(),
            services: Vec::new(),
        },
        orders: OperatorOrders::default(),
    }
}

/// Guards against a map that is replaced by an older version or whose validity is shortened.
#[test]
fn older_map_or_shorter_validity_is_rejected() {
    let store = MapStore::default();
    let later = NOW + Duration::from_secs(1);

    store.accept(timed_map(version(2, 5), NOW));
    store.accept(timed_map(version(2, 4), later));
    store.accept(timed_map(version(1, 9), later));
    assert_eq!(store.stored(&service()).unwrap().map.version, version(2, 5));
    store.accept(timed_map(version(2, 5), later));
    store.accept(timed_map(version(2, 5), NOW));

    let kept = store.stored(&service()).unwrap();
    assert_eq!((kept.map.version, kept.valid_until), (version(2, 5), later));
    assert!(
        store.valid(&service(), later).is_none(),
        "the end is exclusive"
    );
}

/// Guards against an extension of validity that is meant for another map version.
#[test]
fn validity_is_extended_only_for_the_held_version() {
    let store = MapStore::default();
    store.accept(timed_map(version(2, 5), NOW));

    store.extend_validity(&service(), version(2, 4), NOW + Duration::from_secs(1));

    assert_eq!(store.stored(&service()).unwrap().valid_until, NOW);
}

/// Guards against a configuration that is replaced by an older version.
#[test]
fn older_configuration_is_rejected() {
    let store = ConfigStore::default();

    assert!(store.accept(config(3)));
    assert!(!store.accept(config(2)));
    assert!(!store.accept(config(3)));

    assert_eq!(store.config().unwrap().version, ConfigVersion(3));
}

/// Guards against a silent host that stays live forever, and against one that is dropped
/// because of a single late poll.
///
/// After this time the controller also waits until the host's map has expired, so a longer
/// time would keep the servers of a failed forwarder out of service for more than 5 s.
#[test]
fn silent_host_is_live_for_three_polls() {
    let table = HostTable::default();
    let host = peer("host1", "a");

    table.record_poll(&poll(&host, version(1, 1)), NOW);

    let limit = POLL_MAX_WAIT * 3;
    let before = NOW + (limit - Duration::from_micros(1));
    assert_eq!(table.live(before), vec![host]);
    assert!(table.live(NOW + limit).is_empty());
}

/// Guards against a failed host that stays live because hosts repeat each other's lists, and
/// against a new controller that knows no hosts because the previous controller is silent.
#[test]
fn listed_host_is_live_until_removed_from_the_list_or_expired() {
    let table = HostTable::default();
    let (upstream, listed) = (peer("host1", "a"), peer("host2", "b"));
    let id = &upstream.host.id;
    let limit = with_drift(MAP_TTL);

    table.record_list(id, &[upstream.clone(), listed.clone()], NOW);
    let before = NOW + (limit - Duration::from_micros(1));
    assert_eq!(table.live(before), vec![listed]);
    table.record_list(id, std::slice::from_ref(&upstream), before);
    assert!(table.live(before).is_empty());
}

/// Guards against hosts that stay live although only an upstream that is now silent listed them.
#[test]
fn list_of_a_silent_upstream_expires() {
    let table = HostTable::default();
    let (upstream, listed) = (peer("host1", "a"), peer("host2", "b"));

    table.record_list(&upstream.host.id, &[listed], NOW);

    assert!(table.live(NOW + with_drift(MAP_TTL)).is_empty());
}

/// Guards against a map version that counts as replaced while a host that polls this one, or
/// a host downstream of a relay, may still use it.
#[test]
fn floor_is_the_oldest_version_still_in_use() {
    let table = HostTable::default();
    let (first, second) = (peer("host1", "a"), peer("host2", "b"));
    table.record_poll(&poll(&first, version(1, 7)), NOW);
    let behind = MapPoll {
        oldest_versions: vec![(service(), version(1, 4))],
        ..poll(&second, version(1, 7))
    };

    table.record_poll(&behind, NOW);
    assert_eq!(table.oldest_version(&service(), NOW), Some(version(1, 4)));
    table.record_poll(&poll(&second, version(1, 6)), NOW);
    assert_eq!(table.oldest_version(&service(), NOW), Some(version(1, 6)));

    // A poll for other scopes does not change the version recorded for this one.
    let other = MapPoll {
        held: Vec::new(),
        ..poll(&second, version(1, 6))
    };
    table.record_poll(&other, NOW);
    assert_eq!(table.oldest_version(&service(), NOW), Some(version(1, 6)));
    assert_eq!(
        table.oldest_version(&service(), NOW + with_drift(MAP_TTL)),
        None
    );
}

/// Guards against unreachable hosts that stay live and are chosen as forwarders.
#[test]
fn host_that_fails_probes_is_not_live() {
    let table = HostTable::default();
    let host = peer("host1", "a");
    table.record_poll(&poll(&host, version(1, 1)), NOW);

    table.record_probe(&host.host.id, false);
    table.record_poll(&poll(&host, version(1, 1)), NOW);
    assert_eq!(table.live(NOW).len(), 1, "one probe may be lost");
    table.record_probe(&host.host.id, false);
    let later = NOW + with_drift(MAP_TTL);
    table.record_poll(&poll(&host, version(1, 1)), later);
    assert!(table.live(later).is_empty());

    table.record_probe(&host.host.id, true);
    table.record_poll(&poll(&host, version(1, 1)), later);
    assert_eq!(table.live(later).len(), 1);
}

/// Guards against zones without a relay, and against hosts that poll a host which does not
/// consider itself a relay.
#[rstest]
#[case::few(9, 9)]
#[case::many(40, 8)]
fn relays_are_chosen_by_zone(#[case] hosts: usize, #[case] expected: usize) {
    let zones = ["a", "b", "c", "d"];
    let all: Vec<PeerAddress> = (0..hosts)
        .map(|number| peer(&format!("host{number}"), zones[number % 4]))
        .collect();

    let relays: HashSet<_> = all
        .iter()
        .filter(|host| is_relay(host, &all))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|host| host.host.id.clone())
        .collect();

    assert_eq!(relays.len(), expected);
    for host in all.iter().filter(|host| !relays.contains(&host.host.id)) {
        let upstream = upstream_relays(host, &all);
        assert_eq!(upstream.len(), 2);
        let zone: HashSet<_> = zone_relays(&host.host.zone, &all).into_iter().collect();
        assert!(upstream.iter().all(|relay| zone.contains(relay)));
    }
}

/// Guards against requests that are counted twice or not at all when loads are reported.
#[test]
fn loads_are_summed_once() {
    let loads = ShardLoads::default();
    for _ in 0..3 {
        loads.count(&service(), ShardId(4_000));
    }
    loads.add(
        &service(),
        &[(ShardId(4_000), 2), (ShardId(7), 1), (ShardId(u32::MAX), 9)],
    );

    let report = loads.take_report(&service());

    assert_eq!(report, vec![(ShardId(4_000), 5), (ShardId(7), 1)]);
    assert!(loads.take(&service()).is_empty());
}
