//! Objects of other writers among those of the operator, in listings of many pages and in watches.

mod support;

use {
    camphorcove_core::ids::ServerId,
    camphorcove_gateway::{
        metrics::render_metrics,
        state::{HostState, SeenVersions, StoreKind},
        watch::{ConfigFollower, EvacuationFollower, FleetFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        entries::{config_entry, route_entry, server_entry},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        evacuation_region::evacuated,
        fixtures::{settings, version as at},
        owned_region::until,
    },
};

/// Time within which a change has to be known.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Names that sort before, between and after those of the operator.
fn odd_names() -> Vec<String> {
    let mut names: Vec<String> = [
        "",
        "\u{0}",
        " ",
        "!",
        "\"",
        "#",
        "%",
        "%FF",
        "&",
        "&after=zzz",
        "+",
        "../main",
        "?Watch=1",
        "main ",
        "main/status",
        "main&",
        "main%00",
        "main\r\nA: b",
        "zone-a ",
        "zone-a+",
        "zone-b#",
        "zone-b%zz",
        "ÿ",
        "зона",
        "区域",
        "🏝",
        "\u{202e}",
        "\u{10ffff}",
    ]
    .map(str::to_owned)
    .into();
    names.push("m".repeat(70_000));
    names.push("zone-a岛".repeat(12_000));
    names
}

fn config(version: u32) -> serde_json::Value {
    config_entry(
        &format!("{version:08x}"),
        &[route_entry("a", "safe", "plain")],
    )
}

fn following_host(store: SocketAddr) -> Arc<HostState> {
    let mut settings = settings(store);
    settings.evacuation_limit = Some(Duration::from_secs(5));
    let state = Arc::new(HostState::new(settings));
    let client = || StoreClient::new(store, Duration::from_millis(400));
    tokio::spawn(follow(
        state.clone(),
        client(),
        ConfigFollower::new(state.clone()),
    ));
    tokio::spawn(follow(
        state.clone(),
        client(),
        EvacuationFollower::new(state.clone()),
    ));
    tokio::spawn(follow(
        state.clone(),
        client(),
        FleetFollower::new(state.clone()),
    ));
    state
}

fn config_version(state: &HostState) -> u64 {
    state.table().map_or(0, |table| table.version.0)
}

fn zones(state: &HostState) -> Vec<String> {
    let zones = evacuated(state).into_iter();
    zones.map(|zone| zone.to_string()).collect()
}

/// Number of server entries that hosts may use.
fn server_count(state: &HostState) -> usize {
    state.expire_fleet();
    state.fleet().entries().count()
}

/// Guards against objects of other writers that keep a configuration, an evacuated zone or a server from
/// hosts, whether they list them or watch, on pages of any size.
#[rstest]
#[tokio::test]
async fn objects_of_other_writers_hide_none_of_any_kind(#[values(1, 2, 7, 500)] page: usize) {
    let (store, address) = StoreStandin::start().await;
    store.set_page_objects(page);
    let server = || server_entry("plain", ([127, 0, 0, 1], 9_000).into(), "ready", 5);
    store.put("config", "main", config(2));
    store.put("evacuations", "zone-a", json!({}));
    store.put("servers", "main-1", server());
    let early = following_host(address);
    let first = |state: &HostState| {
        config_version(state) == 2 && zones(state) == ["zone-a"] && server_count(state) == 1
    };
    until("listed", || first(&early)).await;

    for name in odd_names() {
        for kind in ["config", "evacuations", "servers"] {
            store.put(kind, &name, json!({"Version": "0000ffff", "Service": 7}));
        }
    }
    let late = following_host(address);
    until("listed", || first(&late)).await;
    store.put("config", "main", config(3));
    store.put("evacuations", "zone-b", json!({}));
    store.put("servers", "zone-c", server());
    let second = |state: &HostState| {
        config_version(state) == 3
            && zones(state) == ["zone-a", "zone-b"]
            && server_count(state) == 2
    };
    let took = until("changed", || second(&early) && second(&late)).await;
    let restarted = following_host(address);
    until("listed again", || second(&restarted)).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
    assert!(!early.lacks_store() && !late.lacks_store());
}

/// Guards against stale reads, with which hosts read a configuration that others know of, which end at an
/// object of another writer.
#[tokio::test]
async fn stale_listing_passes_over_objects_of_other_writers() {
    let (store, address) = StoreStandin::start().await;
    store.set_page_objects(1);
    for name in odd_names() {
        store.put("config", &name, json!(7));
    }
    store.put("config", "main", config(2));
    let host = following_host(address);
    until("listed", || config_version(&host) == 2).await;
    // The leader's digests: the host does not watch, and hears of a newer version.
    host.record_digest(false);
    store.silence_watches(true);
    store.put("config", "main", config(3));
    let mut versions = SeenVersions::default();
    versions.advance(StoreKind::Config, at(store.revision()));
    host.set_peer_versions(&versions);

    let took = until("read", || config_version(&host) == 3).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
    assert!(store.calls().iter().any(|call| call.contains("StaleOk=1")));
}

/// Guards against names of other writers in the metrics page and in messages to other hosts, which hosts
/// decode without a check of their own.
#[tokio::test]
async fn names_of_other_writers_reach_neither_metrics_nor_other_hosts() {
    let (store, address) = StoreStandin::start().await;
    store.put("config", "main", config(2));
    store.put("evacuations", "zone-a", json!({}));
    let server = || server_entry("plain", ([127, 0, 0, 1], 9_000).into(), "ready", 5);
    let host = following_host(address);
    until("listed", || {
        config_version(&host) == 2 && zones(&host) == ["zone-a"]
    })
    .await;
    let from = host.seen_through(StoreKind::Fleet);

    for name in odd_names() {
        store.put("servers", &name, server());
        store.put("evacuations", &name, server());
        for field in ["Service", "Zone"] {
            let mut entry = server();
            entry[field] = name.as_str().into();
            store.put("servers", &format!("s-{field}"), entry);
        }
    }
    store.put("servers", "s-1", server());
    store.put("evacuations", "zone-b", json!({}));
    until("changed", || {
        server_count(&host) == 1 && zones(&host).len() == 2
    })
    .await;

    let page = render_metrics(&host).expect("a page");
    let page = String::from_utf8(page).expect("text");
    assert!(page.is_ascii() && page.len() < 100_000, "{}", page.len());
    let updates = host.fleet_updates(from);
    let put = updates.iter().flat_map(|update| &update.put);
    let ids: Vec<&str> = put.map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["s-1"]);
    let removed = updates.iter().flat_map(|update| &update.removed);
    for id in removed {
        assert!(id.as_str().parse::<ServerId>().is_ok(), "{id}");
    }
    let listed = host.digest_evacuations().expect("a list");
    assert_eq!(listed.zones.len(), 2);
}
