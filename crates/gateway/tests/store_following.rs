//! A host's knowledge of configuration and servers after changes and faults of the store.

mod support;

use {
    camphorcove_gateway::{
        state::{ChangeLog, FleetUpdate, HostState, SeenVersions, StoreKind},
        watch::{ConfigFollower, FleetFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        entries::{config_entry, route_entry, server_entry},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    serde_json::{Value, json},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::fixtures::{entry, first_listing_span, host_state, version as at},
    tokio::time::sleep,
};

/// Longest wait until a host knows a change.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(5);

fn config(version: &str) -> Value {
    config_entry(version, &[route_entry("a", "safe", "plain")])
}

fn server(state: &str) -> Value {
    server_entry("plain", ([127, 0, 0, 1], 9_000).into(), state, 5)
}

async fn following_host() -> (Arc<HostState>, StoreStandin) {
    let (store, address) = StoreStandin::start().await;
    store.put("config", "main", config("00000002"));
    store.put("servers", "s-1", server("ready"));
    let client = StoreClient::new(address, Duration::from_millis(400));
    let state = host_state();
    let follower = ConfigFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client.clone(), follower));
    let follower = FleetFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client, follower));
    until(|| state.table().is_some() && state.fleet().entries().count() == 1).await;
    (state, store)
}

async fn until(condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < UPDATE_TIMEOUT, "not learned");
        sleep(Duration::from_millis(10)).await;
    }
}

fn version(state: &HostState) -> u64 {
    state.table().expect("a configuration").version.0
}

/// A host must not go back to an older configuration, or put an unreadable one in force.
#[tokio::test]
async fn configuration_never_goes_back() {
    let (state, store) = following_host().await;

    store.put("config", "main", config("0000000c"));
    until(|| version(&state) == 12).await;
    store.put("config", "main", config("00000003"));
    store.put(
        "config",
        "main",
        json!({"Version": "0000000d", "Routes": 7}),
    );
    sleep(Duration::from_millis(600)).await;

    assert_eq!(version(&state), 12);
}

/// An unreadable entry must not keep other entries from being used.
#[tokio::test]
async fn unreadable_entry_is_ignored() {
    let (state, store) = following_host().await;

    store.put("servers", "s-2", json!({"Service": 7}));
    store.put("servers", "s-3", json!("text"));
    store.put("servers", "s-4", server("ready"));
    until(|| state.fleet().entries().count() == 2).await;

    let fleet = state.fleet();
    let names: Vec<&str> = fleet.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(names, ["s-1", "s-4"]);
}

/// A removal must not be missed if the store drops the history before a watch shows it.
#[tokio::test]
async fn dropped_history_is_replaced_by_a_list() {
    let (state, store) = following_host().await;
    store.silence_watches(true);
    store.put("servers", "s-1", server("draining"));

    store.remove("servers", "s-1");
    store.compact();

    until(|| {
        state.expire_fleet();
        state.fleet().entries().count() == 0
    })
    .await;
}

/// A watch on a dead connection shows no changes. The host must notice that from the versions
/// that other hosts have seen, and list the kind.
#[tokio::test]
async fn silent_watch_is_detected_by_revisions_of_other_hosts() {
    let (state, store) = following_host().await;
    store.silence_watches(true);
    store.put("config", "main", config("0000000c"));
    sleep(Duration::from_millis(300)).await;
    let before = version(&state);

    let mut versions = SeenVersions::default();
    versions.advance(StoreKind::Config, at(1_000));
    state.set_peer_versions(&versions);
    until(|| version(&state) == 12).await;

    assert_eq!(before, 2);
}

/// A host must not drop its servers while the store is unreachable.
#[tokio::test]
async fn host_keeps_its_servers_while_the_store_is_down() {
    let (state, store) = following_host().await;

    store.set_down(true);
    store.put("servers", "s-2", server("ready"));
    sleep(Duration::from_millis(600)).await;
    let during_outage = state.fleet().entries().count();
    store.set_down(false);
    store.put("servers", "s-3", server("ready"));
    until(|| state.fleet().entries().count() == 3).await;

    assert!(during_outage >= 1);
}

fn watches(store: &StoreStandin) -> usize {
    let calls = store.calls();
    calls.iter().filter(|call| call.contains("Watch=")).count()
}

/// Watches are billed, so a host must not watch while the leader sends digests. Once the digests
/// stop, it must watch, or it would miss all changes.
#[tokio::test]
async fn host_watches_the_store_only_while_no_digests_arrive() {
    let (state, store) = following_host().await;

    for _ in 0..10 {
        state.record_digest(false);
        sleep(Duration::from_millis(100)).await;
    }
    let while_digests_arrive = watches(&store);
    store.put("servers", "s-2", server("ready"));
    until(|| state.fleet().entries().count() == 2).await;

    assert_eq!(while_digests_arrive, 0);
    assert!(watches(&store) > 0);
}

/// Datagrams get lost. If a digest names a revision that did not arrive and the leader does not
/// resend it, the host must read the store.
#[tokio::test]
async fn change_that_the_leader_does_not_send_is_read_from_the_store() {
    let (state, store) = following_host().await;
    store.put("servers", "s-2", server("ready"));
    store.put("config", "main", config("0000000c"));

    let mut versions = SeenVersions::default();
    versions.advance(StoreKind::Fleet, at(3));
    versions.advance(StoreKind::Config, at(4));
    state.set_peer_versions(&versions);
    let begun = Instant::now();
    while state.fleet().entries().count() < 2 || version(&state) < 12 {
        assert!(begun.elapsed() < UPDATE_TIMEOUT, "not learned");
        state.record_digest(false);
        sleep(Duration::from_millis(50)).await;
    }

    // A catch-up is one watch call, which returns with the change.
    assert!(watches(&store) <= 1, "{:?}", store.calls());
}

/// A series of changes must not make hosts read the store while each change arrives in time: with
/// 82 servers that joined one after the other, 195 hosts made 450 calls, as each was always
/// behind by the newest change.
#[tokio::test]
async fn series_of_changes_that_arrive_in_time_needs_no_read() {
    let (state, store) = following_host().await;
    let first = state.seen_through(StoreKind::Fleet).revision;

    for revision in first..first + 12 {
        let mut versions = SeenVersions::default();
        versions.advance(StoreKind::Fleet, at(revision + 1));
        state.set_peer_versions(&versions);
        state.record_digest(false);
        sleep(Duration::from_millis(100)).await;
        state.update_fleet(update(revision, revision + 1, &[]));
    }

    assert_eq!(watches(&store), 0, "{:?}", store.calls());
}

fn update(from: u64, to: u64, removed: &[&str]) -> FleetUpdate {
    FleetUpdate {
        from: at(from),
        to: at(to),
        put: Vec::new(),
        removed: removed.iter().map(|id| id.parse().expect("id")).collect(),
    }
}

/// Updates must not be applied out of order, twice or after a gap: a server that left would come
/// back, or would never be removed.
#[rstest]
#[case::continues(update(1, 3, &["s-1"]), true)]
#[case::overlaps(update(0, 3, &["s-1"]), true)]
#[case::known(update(0, 1, &["s-1"]), false)]
#[case::gap(update(2, 3, &["s-1"]), false)]
fn fleet_update_is_applied_only_if_it_continues_the_known_revision(
    #[case] update: FleetUpdate,
    #[case] applied: bool,
) {
    let state = host_state();
    let address = ([127, 0, 0, 1], 9_000).into();
    state.replace_fleet(vec![entry("s-1", "plain", address)], first_listing_span());

    let accepted = state.update_fleet(update);

    assert_eq!(accepted, applied);
    assert_eq!(
        state.versions().get(StoreKind::Fleet),
        at(if applied { 3 } else { 1 })
    );
}

/// A host must not get changes with a gap between them.
#[test]
fn change_log_is_cleared_after_a_gap() {
    let mut log = ChangeLog::default();
    log.push(update(1, 3, &[]));
    log.push(update(3, 5, &[]));
    let whole = log.since(at(2)).len();
    log.push(update(7, 9, &[]));

    assert_eq!(whole, 2);
    assert_eq!((log.since(at(2)).len(), log.since(at(7)).len()), (0, 1));
}
