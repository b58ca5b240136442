//! A store that comes back from a backup: its last writes are lost and their revisions are given out
//! again.

mod support;

use {
    camphorcove_core::{
        fleet::ServerPhase,
        ownership::{LEASE_DURATION, OwnerState},
    },
    camphorcove_gateway::{
        state::{HostState, StoreKind},
        watch::{ConfigFollower, FleetFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        entries::{config_entry, route_entry, server_entry},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        fixtures::host_state,
        leader_hosts::LeaderHost,
        owned_region::{
            OwnedRegion, is_owned, move_keys, next_token, owned_region, owners_of, start_host,
            start_hosts, stored, until, until_settled,
        },
    },
    tokio::time::sleep,
};

/// Time within which a configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Most calls of one host to the store in the two seconds after its return: a few for each kind.
const MAX_CALLS: usize = 20;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(1_500);

fn config(version: u32) -> Value {
    config_entry(
        &format!("{version:08x}"),
        &[route_entry("a", "safe", "plain")],
    )
}

fn server(state: &str, born: u64) -> Value {
    server_entry("plain", ([127, 0, 0, 1], 9_000).into(), state, born)
}

async fn following_host() -> (Arc<HostState>, StoreStandin) {
    let (store, address) = StoreStandin::start().await;
    store.put("config", "main", config(1));
    for id in ["s-1", "s-2", "s-3"] {
        store.put("servers", id, server("ready", 5));
    }
    let state = host_state();
    let client = StoreClient::new(address, Duration::from_millis(400));
    let follower = ConfigFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client.clone(), follower));
    let follower = FleetFollower::new(state.clone());
    tokio::spawn(follow(state.clone(), client, follower));
    until("listed", || {
        version(&state) == 1 && servers(&state) == ["s-1", "s-2", "s-3"]
    })
    .await;
    (state, store)
}

fn version(state: &HostState) -> u64 {
    state.table().map_or(0, |table| table.version.0)
}

/// Ids of the servers that get new requests.
fn servers(state: &HostState) -> Vec<String> {
    state.expire_fleet();
    let fleet = state.fleet();
    let ready = fleet
        .entries()
        .filter(|entry| entry.phase == ServerPhase::Ready);
    ready.map(|entry| entry.id.to_string()).collect()
}

/// Writes as servers do that renew their entries, so that revisions rise.
fn raise_revision(store: &StoreStandin, writes: u32) {
    for _ in 0..writes {
        store.put("other", "object", Value::Null);
    }
}

/// Guards against a configuration that is in force late or not at all because its revision is lower
/// than one that was lost, against an older one that comes back, and against hosts that call the
/// store without pause.
#[tokio::test]
async fn configuration_written_after_lost_writes_is_in_force_with_few_calls() {
    let (state, store) = following_host().await;
    let backup = store.back_up();
    store.put("config", "main", config(2));
    raise_revision(&store, 50);
    store.put("config", "main", config(3));
    until("in force", || version(&state) == 3).await;

    store.restore(backup);
    let calls = store.calls().len();
    sleep(Duration::from_millis(300)).await;
    let after_loss = version(&state);
    store.put("config", "main", config(4));
    let took = until("in force", || version(&state) == 4).await;
    sleep(APPLY_LIMIT.saturating_sub(took)).await;

    assert_eq!(after_loss, 3);
    assert!(took < APPLY_LIMIT, "{took:?}");
    let calls = store.calls().len() - calls;
    assert!(calls <= MAX_CALLS, "{calls} calls");
}

fn follow_configuration(host: &LeaderHost, store: SocketAddr) {
    let client = StoreClient::new(store, Duration::from_millis(400));
    let follower = ConfigFollower::new(host.state.clone());
    tokio::spawn(follow(host.state.clone(), client, follower));
}

/// Configuration with this many routes.
fn config_of(version: u32, routes: usize) -> Value {
    let routes: Vec<Value> = (0..routes)
        .map(|at| route_entry(&format!("route-{at}"), "safe", "plain"))
        .collect();
    config_entry(&format!("{version:08x}"), &routes)
}

/// Guards against a host that starts after lost writes and serves an older configuration than the
/// others until the operator has written again, because the newer one is large or in general.
#[rstest]
#[case::small(1)]
#[case::large(500)]
#[tokio::test]
async fn host_that_starts_after_lost_writes_gets_the_newest_configuration(#[case] routes: usize) {
    let OwnedRegion {
        store,
        address,
        servers,
        hosts,
        ..
    } = owned_region().await;
    store.put("config", "main", config_of(2, routes));
    raise_revision(&store, 50);
    let backup = store.back_up();
    store.put("config", "main", config_of(3, routes));
    for host in &hosts {
        follow_configuration(host, address);
    }
    until("in force", || {
        hosts.iter().all(|host| version(&host.state) == 3)
    })
    .await;

    let epoch = |host: &LeaderHost| host.state.seen_through(StoreKind::Config).epoch;
    let before = epoch(&hosts[0]);
    store.restore(backup);
    until("noticed", || hosts.iter().all(|host| epoch(host) > before)).await;
    let late = start_host("host-3", address, &servers).await;
    follow_configuration(&late, address);
    let took = until("in force", || version(&late.state) == 3).await;

    assert!(took < APPLY_LIMIT, "{took:?}");
}

/// Guards against entries of the backup that were outdated when the writes were lost: a server that
/// drains or has left gets requests again, or an earlier start of a server takes the place of its
/// present one.
#[tokio::test]
async fn servers_that_left_are_not_used_again_after_lost_writes() {
    let (state, store) = following_host().await;
    let backup = store.back_up();
    store.put("servers", "s-1", server("draining", 5));
    store.put("servers", "s-2", server("draining", 5));
    until("drained", || servers(&state) == ["s-3"]).await;
    store.remove("servers", "s-2");
    store.put("servers", "s-3", server("ready", 6));
    let started = |state: &HostState| {
        let fleet = state.fleet();
        fleet
            .get(&"s-3".parse().expect("valid id"))
            .map(|entry| entry.incarnation)
    };
    until("restarted", || started(&state) == Some(6)).await;
    let left = |state: &HostState| {
        state
            .fleet()
            .get(&"s-2".parse().expect("valid id"))
            .is_none()
    };
    until("left", || left(&state)).await;

    store.restore(backup);
    // Servers that live write their entries again; the entry of one that left only expires.
    store.put("servers", "s-4", server("ready", 7));
    until("joined", || servers(&state).contains(&"s-4".to_owned())).await;

    assert_eq!(servers(&state), ["s-3", "s-4"]);
    assert_eq!(started(&state), Some(6));
}

/// Guards against a leader that gives up the only complete copy of the assignment: keys change
/// owners as of the backup, with tokens that servers have seen, and no leader can act any more.
#[tokio::test]
async fn leader_writes_the_assignment_again_after_lost_writes() {
    let OwnedRegion {
        store,
        ledger,
        hosts,
        ..
    } = owned_region().await;
    let backup = store.back_up();
    move_keys(&hosts, &store).await;
    let known = stored(&store).expect("an assignment");

    store.set_down(true);
    sleep(OUTAGE).await;
    store.restore(backup);
    store.set_down(false);
    until("written again", || {
        stored(&store).is_some_and(|state| owners_of(&state) == owners_of(&known))
    })
    .await;
    sleep(Duration::from_secs(4)).await;

    let state = stored(&store).expect("an assignment");
    assert!(next_token(&state) >= next_token(&known));
    assert!(
        state.term <= known.term + 1,
        "{} terms",
        state.term - known.term
    );
    assert_eq!(ledger.violations(), Vec::<String>::new());
    let leaders = hosts.iter().filter(|host| host.state.is_leader()).count();
    assert_eq!(leaders, 1);
}

/// Guards against a successor that takes the backup for the whole truth: hosts that have just started
/// know nothing of the lost writes, and servers hold leases with tokens that were lost.
#[tokio::test]
async fn successor_after_lost_writes_waits_for_leases_and_uses_higher_tokens() {
    let OwnedRegion {
        store,
        address,
        ledger,
        servers,
        hosts,
        ..
    } = owned_region().await;
    let backup = store.back_up();
    move_keys(&hosts, &store).await;
    let known = stored(&store).expect("an assignment");
    for host in &hosts {
        host.actor.kill();
    }

    store.restore(backup);
    let _successors = start_hosts(address, &servers).await;
    until("owned", || {
        stored(&store)
            .is_some_and(|state| is_owned(&state) && next_token(&state) > next_token(&known))
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
    let state = stored(&store).expect("an assignment");
    assert!(is_owned(&state));
}

/// Guards against keys without an owner for as long as leases last, where a successor remembers the
/// assignment and most hosts remember no later one.
#[tokio::test]
async fn successor_that_remembers_the_assignment_keeps_its_owners() {
    let OwnedRegion {
        store,
        ledger,
        hosts,
        ..
    } = owned_region().await;
    let backup = store.back_up();
    move_keys(&hosts, &store).await;
    let known = until_settled(&store).await;
    let leader = hosts
        .iter()
        .find(|host| host.state.is_leader())
        .expect("a leader");
    leader.actor.kill();

    store.restore(backup);
    let taken_over =
        |state: OwnerState| state.term > known.term && owners_of(&state) == owners_of(&known);
    let took = until("taken over", || stored(&store).is_some_and(taken_over)).await;
    sleep(Duration::from_secs(4)).await;

    assert!(took < LEASE_DURATION, "{took:?}");
    let state = stored(&store).expect("an assignment");
    assert_eq!(owners_of(&state), owners_of(&known));
    assert_eq!(ledger.violations(), Vec::<String>::new());
}

/// Guards against a leader that waits for an object that no longer exists.
#[tokio::test]
async fn leader_writes_an_assignment_again_that_was_removed() {
    let OwnedRegion {
        store,
        ledger,
        hosts,
        ..
    } = owned_region().await;
    let known = stored(&store).expect("an assignment");

    store.remove("camphorcove", "owners");
    let service = "keyed".parse().expect("valid name");
    until("written again", || {
        for key in 0..200 {
            hosts[0].state.count_key(&service, key);
        }
        stored(&store).is_some_and(|state| next_token(&state) >= next_token(&known))
    })
    .await;

    assert_eq!(ledger.violations(), Vec::<String>::new());
}

/// Guards against a leader that gives up where the store has lost no write of the assignment: its
/// next write meets the revision that it expects, in another epoch.
#[tokio::test]
async fn leader_stays_when_the_store_returns_with_the_present_assignment() {
    let OwnedRegion {
        store,
        ledger,
        hosts,
        ..
    } = owned_region().await;
    store.set_down(true);
    let backup = store.back_up();
    let known = stored(&store).expect("an assignment");
    let service = "keyed".parse().expect("valid name");

    store.restore(backup);
    store.set_down(false);
    until("written again", || {
        for host in &hosts {
            for key in 0..200 {
                host.state.count_key(&service, key);
            }
        }
        stored(&store).is_some_and(|state| is_owned(&state) && state.epoch > known.epoch)
    })
    .await;
    sleep(Duration::from_secs(1)).await;

    assert_eq!(stored(&store).map(|state| state.term), Some(known.term));
    assert_eq!(ledger.violations(), Vec::<String>::new());
}
