//! Evacuation of availability zones: servers of the zone lose their keys and get no requests.

mod support;

use {
    std::time::Duration,
    support::evacuation_region::{
        LIMIT, ZONES, evacuated, evacuation_region, region_without_hosts, until,
    },
    tokio::time::sleep,
};

/// Time after the object was written within which the keys of an idle zone move; the page allows 5 s.
const MOVE_TIME: Duration = Duration::from_secs(4);

/// Time for which callers go on after the time allowed, to show that no request reaches the zone.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Time over which watches are counted: long enough to tell three hosts that watch from five.
const WATCH_SPAN: Duration = Duration::from_secs(4);

/// Guards against keys that stay in an evacuated zone, requests that reach it after the time allowed, and
/// keys that are not served meanwhile: most requests were to be answered throughout.
#[tokio::test]
async fn keys_of_an_evacuated_zone_move_and_no_request_reaches_it_afterwards() {
    let mut region = evacuation_region().await;
    region.start_callers();
    sleep(Duration::from_secs(1)).await;

    region.evacuate("zone-a");
    let moved = until("moved", || !region.owner_zones().contains("zone-a")).await;
    sleep(LIMIT.saturating_sub(moved)).await;
    let at_limit = region.requests(&["zone-a"]);
    sleep(OBSERVATION_TIME).await;

    assert!(moved < MOVE_TIME, "{moved:?}");
    assert_eq!(region.requests(&["zone-a"]), at_limit);
    for service in ["keyed", "plain"] {
        let statuses = region.statuses(service);
        let served = statuses.get(&200).copied().unwrap_or_default();
        let all: u32 = statuses.values().sum();
        assert!(served * 10 >= all * 9, "{service}: {statuses:?}");
    }
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against an evacuation that ends or starts anew with the leader that began it.
#[tokio::test]
async fn successor_of_a_killed_leader_completes_the_evacuation() {
    let mut region = evacuation_region().await;
    region.start_callers();
    sleep(Duration::from_secs(1)).await;
    let leader = region.leader();

    region.evacuate("zone-b");
    until("begun", || {
        let state = &region.hosts[leader].leader.state;
        !evacuated(state).is_empty()
    })
    .await;
    region.hosts[leader].leader.actor.kill();
    sleep(LIMIT).await;
    let at_limit = region.requests(&["zone-b"]);
    sleep(OBSERVATION_TIME).await;
    let later = region.requests(&["zone-b"]);
    until("moved", || !region.owner_zones().contains("zone-b")).await;

    assert_eq!(later, at_limit);
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against a restart of everything that forgets an evacuation: the first assignment must not
/// use the zone.
#[tokio::test]
async fn zone_that_was_evacuated_before_the_start_gets_nothing() {
    let (mut region, store) = region_without_hosts().await;
    region.evacuate("zone-c");

    region.start_hosts(store).await;
    let owners = region.owner_zones();
    region.start_callers();
    sleep(Duration::from_secs(3)).await;

    assert!(!owners.contains("zone-c"), "{owners:?}");
    let reached = region.requests(&["zone-c"]);
    assert!(reached.values().all(|count| *count == 0), "{reached:?}");
    assert!(region.statuses("keyed").contains_key(&200));
    assert!(region.statuses("plain").contains_key(&200));
}

/// Guards against requests to the zone while keys cannot move because the store is away, and against
/// refusals that are not true; the keys have to move once it is back.
#[tokio::test]
async fn hosts_stop_in_time_while_the_store_is_away() {
    let mut region = evacuation_region().await;
    region.start_callers();
    sleep(Duration::from_secs(1)).await;
    let leader = region.leader();

    region.evacuate("zone-a");
    until("begun", || {
        let state = &region.hosts[leader].leader.state;
        !evacuated(state).is_empty()
    })
    .await;
    region.store.set_down(true);
    sleep(LIMIT).await;
    let at_limit = region.requests(&["zone-a"]);
    sleep(OBSERVATION_TIME).await;
    let later = region.requests(&["zone-a"]);
    region.store.set_down(false);
    until("moved", || {
        region.all_keys_owned() && !region.owner_zones().contains("zone-a")
    })
    .await;

    assert_eq!(later, at_limit);
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against a second evacuation that moves keys into the first zone, or is not noticed.
#[tokio::test]
async fn two_zones_are_evacuated_at_once() {
    let mut region = evacuation_region().await;
    region.start_callers();

    region.evacuate("zone-a");
    sleep(Duration::from_millis(300)).await;
    region.evacuate("zone-b");
    sleep(LIMIT).await;
    let at_limit = region.requests(&["zone-a", "zone-b"]);
    sleep(OBSERVATION_TIME).await;

    assert_eq!(region.requests(&["zone-a", "zone-b"]), at_limit);
    assert_eq!(region.owner_zones(), ["zone-c".to_owned()].into());
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against requests that are sent to an evacuated zone because no other is left, and against
/// a zone that is not used again once its evacuation is lifted.
#[tokio::test]
async fn all_zones_are_refused_until_one_is_lifted() {
    let mut region = evacuation_region().await;
    region.start_callers();

    for zone in ZONES {
        region.evacuate(zone);
    }
    sleep(LIMIT).await;
    let at_limit = region.requests(&ZONES);
    let refused = region.read_key(7).await;
    sleep(OBSERVATION_TIME).await;
    let later = region.requests(&ZONES);
    region.lift("zone-c");
    region.until_known(&["zone-a", "zone-b"]).await;
    until("moved", || {
        region.owner_zones() == ["zone-c".to_owned()].into()
    })
    .await;

    assert_eq!(later, at_limit);
    for response in refused {
        assert_eq!(response.status, 503);
        assert!(response.body.starts_with("not run"), "{}", response.body);
    }
    until("served", || {
        let served = region.requests(&["zone-c"]);
        served.iter().all(|(id, count)| *count > later[id])
    })
    .await;
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against a zone that gets no requests after its evacuation is lifted halfway, and against
/// hosts that keep an earlier list because a digest or report repeats it.
#[tokio::test]
async fn lifted_evacuation_ends_at_all_hosts() {
    let mut region = evacuation_region().await;
    region.start_callers();
    region.evacuate("zone-a");
    region.until_known(&["zone-a"]).await;

    region.lift("zone-a");
    region.until_known(&[]).await;
    let before = region.requests(&["zone-a"]);
    sleep(OBSERVATION_TIME).await;

    region.until_known(&[]).await;
    let plain_servers = region.requests(&["zone-a"]);
    let plain = plain_servers.iter().filter(|(id, _)| id.starts_with("p-"));
    let used = plain.filter(|(id, count)| **count > before[*id]).count();
    assert!(used > 0, "{before:?}");
    assert_eq!(region.violations(), Vec::<String>::new());
}

/// Guards against a leader that sends no list, so that each host watches the store: every call is billed.
#[tokio::test]
async fn only_leader_and_watchers_watch_the_store() {
    let region = evacuation_region().await;
    // By then the leader has counted the hosts and named the watchers.
    sleep(Duration::from_millis(2_500)).await;
    let before = region.evacuation_watches();

    sleep(WATCH_SPAN).await;
    let watches = region.evacuation_watches() - before;
    region.evacuate("zone-a");
    region.until_known(&["zone-a"]).await;

    // Each watch takes 0.8 s if nothing changes.
    let by_one_host = WATCH_SPAN.as_millis() as usize / 800 + 1;
    assert!(watches <= 3 * by_one_host, "{watches}");
}

/// Guards against an evacuation that ends because the store returns to a backup from before it, until the
/// operator has written the object again.
#[tokio::test]
async fn restored_store_does_not_end_an_evacuation() {
    let mut region = evacuation_region().await;
    let backup = region.store.back_up();
    region.start_callers();
    region.evacuate("zone-a");
    sleep(LIMIT).await;
    let at_limit = region.requests(&["zone-a"]);

    region.store.restore(backup);
    sleep(Duration::from_secs(1)).await;
    region.evacuate("zone-a");
    sleep(LIMIT).await;

    assert_eq!(region.requests(&["zone-a"]), at_limit);
    assert_eq!(region.violations(), Vec::<String>::new());
}
