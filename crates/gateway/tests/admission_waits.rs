//! Requests that are refused or wait at a host because the owner of their key is busy.

mod support;

use {
    camphorcove_core::{
        dispatch::{AdmissionRule, AdmittedShare, KeyShare, RankLimit, RequestOutcome},
        ids::{ConfigVersion, ServiceName},
        routing::{
            CallerLimits, RetryPolicy, RouteRank, RouteRule, RouteTable, ServiceRule, SplitPart,
        },
    },
    camphorcove_gateway::{
        metrics::render_metrics,
        state::{HostState, PickQuery, PickRefusal, ServerPermit, ServerPick, SlotWait},
    },
    camphorcove_platform_standin::{
        caller::{call, key_header, request},
        scripted_server::{ScriptedServer, complete_response},
    },
    std::{sync::Arc, time::Duration},
    support::fixtures::{
        TestHost, entry, first_listing_span, host_state, owners_moving_from, owners_with,
        start_listener, version,
    },
    tokio::time::timeout,
};

const TARGET_LATENCY: Duration = Duration::from_millis(800);

/// Longest time until a wait that has ended is noticed; the waits themselves take 120 ms.
const WAKE_TIME: Duration = Duration::from_millis(40);

fn service() -> ServiceName {
    "keyed".parse().expect("valid name")
}

/// Routes `/key/` of rank 0 and `/later/` of rank 1, which is not idempotent, of one keyed service.
fn ranked_table() -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
    };
    let keyed = ServiceRule {
        name: service(),
        connections: 100,
        keyed: true,
        warmup: None,
    };
    let rule = |prefix: &str, rank, retry| RouteRule {
        name: prefix.into(),
        host: "boats.example".into(),
        prefix: prefix.into(),
        retry,
        time_limit: Duration::from_secs(3),
        target_latency: TARGET_LATENCY,
        rank: RouteRank(rank),
        attempts: 2,
        split: vec![SplitPart {
            service: service(),
            weight: 1,
        }],
    };
    let rules = vec![
        rule("/key/", 0, RetryPolicy::Idempotent),
        rule("/later/", 1, RetryPolicy::AtMostOnce),
    ];
    RouteTable::new(ConfigVersion(1), limits, vec![keyed], rules).expect("valid table")
}

/// A host whose service has ranked routes and one server, which owns all keys.
async fn ranked_host(server: &ScriptedServer) -> TestHost {
    let state = host_state();
    let entry = entry("s-1", "keyed", server.address);
    state.set_table(ranked_table());
    state.replace_fleet(vec![entry.clone()], first_listing_span());
    state.set_remote_load(Some(10), &[]);
    state.set_owners(owners_with(&entry), version(1));
    start_listener(state).await
}

async fn idle_server() -> ScriptedServer {
    ScriptedServer::start(vec![complete_response("done")]).await
}

fn query(service: &ServiceName) -> PickQuery<'_> {
    PickQuery {
        service,
        key: Some(7),
        tried: &[],
        rule: AdmissionRule {
            target_latency: TARGET_LATENCY,
            time_left: Duration::from_secs(3),
            rank_limit: Some(RankLimit {
                rank: RouteRank(1),
                limit: 0.57,
                most_urgent: 0.76,
            }),
            is_hot_key: false,
        },
        rank: RouteRank(1),
        is_waiting: false,
        plans_returns: true,
    }
}

/// Sends requests until the server is overloaded.
fn fill(state: &Arc<HostState>, query: PickQuery<'_>) -> Vec<ServerPermit> {
    let mut permits = Vec::new();
    loop {
        match state.pick_server(query) {
            ServerPick::Send(_, permit) => permits.push(permit),
            ServerPick::Refuse(reason, _) => {
                assert_eq!(reason, PickRefusal::Overloaded);
                return permits;
            }
            ServerPick::Unowned(wait) => panic!("no owner for {wait:?}"),
        }
    }
}

async fn is_woken(wait: &SlotWait) -> Option<bool> {
    timeout(WAKE_TIME, wait.woken()).await.ok()
}

/// Load: an owner with a full queue. Guards against a request that is refused although a slot comes free
/// at once, that is woken without a reason, or that stays in the queue after its end.
#[tokio::test]
async fn waiting_request_is_woken_when_a_request_ends() {
    let server = idle_server().await;
    let host = ranked_host(&server).await;
    let service = service();
    let mut permits = fill(&host.state, query(&service));
    let wait = host
        .state
        .begin_slot_wait(query(&service), 10)
        .expect("room in the queue");
    assert_eq!(is_woken(&wait).await, None);

    permits
        .pop()
        .expect("a request")
        .end(RequestOutcome::Abandoned, None);

    assert_eq!(is_woken(&wait).await, Some(true));
    let waiting = PickQuery {
        is_waiting: true,
        ..query(&service)
    };
    assert!(matches!(
        host.state.pick_server(waiting),
        ServerPick::Send(..)
    ));
    assert_eq!(host.state.waiting_requests(), 1);
    drop(wait);
    assert_eq!(host.state.waiting_requests(), 0);
}

/// Failure: the key moves away from its owner. Guards against a request that waits on for a server that
/// no longer owns its key.
#[tokio::test]
async fn wait_ends_when_the_owner_changes() {
    let server = idle_server().await;
    let host = ranked_host(&server).await;
    let service = service();
    let _permits = fill(&host.state, query(&service));
    let wait = host
        .state
        .begin_slot_wait(query(&service), 10)
        .expect("room in the queue");

    let entry = entry("s-1", "keyed", server.address);
    let (woken, ()) = tokio::join!(is_woken(&wait), async {
        host.state
            .set_owners(owners_moving_from(&entry), version(2));
    });

    assert_eq!(woken, Some(true));
    assert_eq!(is_woken(&wait).await, Some(false));
}

/// Failure: the host stops. Guards against requests that wait while it does.
#[tokio::test]
async fn wait_ends_when_the_host_stops() {
    let server = idle_server().await;
    let host = ranked_host(&server).await;
    let service = service();
    let _permits = fill(&host.state, query(&service));
    let wait = host
        .state
        .begin_slot_wait(query(&service), 10)
        .expect("room in the queue");

    let (woken, ()) = tokio::join!(is_woken(&wait), async { host.state.begin_stop() });

    assert_eq!(woken, Some(true));
    assert_eq!(is_woken(&wait).await, Some(false));
    assert!(host.state.begin_slot_wait(query(&service), 10).is_none());
}

/// Failure: a caller disconnects while its request waits. Guards against a request that keeps its place in
/// the queue and is sent although nobody awaits the answer.
#[tokio::test]
async fn request_of_a_caller_that_disconnects_leaves_the_queue() {
    let server = idle_server().await;
    let host = ranked_host(&server).await;
    let service = service();
    let _permits = fill(&host.state, query(&service));
    let text = request("POST", "/later/a", "r1", &key_header(7), "");
    let address = host.address;
    let caller = tokio::spawn(async move { call(address, &text).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    assert_eq!(host.state.waiting_requests(), 1);

    caller.abort();
    tokio::time::sleep(Duration::from_millis(30)).await;

    assert_eq!(host.state.waiting_requests(), 0);
}

/// Load: a key that the leader lists as hot. Guards against requests above its share that are sent, held, or
/// refused without a time to return, and refusals that the metrics do not show.
#[tokio::test]
async fn requests_above_the_share_of_a_hot_key_are_refused_at_once() {
    let server = idle_server().await;
    let host = ranked_host(&server).await;
    let share = KeyShare {
        service: service(),
        key: 7,
        share: AdmittedShare::from_fraction(0.001),
    };
    host.state.set_key_shares(&[share]);

    let hot = request("GET", "/later/a", "r1", &key_header(7), "");
    let refused = call(host.address, &hot).await;
    let other = request("GET", "/later/a", "r2", &key_header(8), "");
    let served = call(host.address, &other).await;

    assert_eq!(refused.status, 503, "{}", refused.head);
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
    assert_eq!(served.status, 200);
    let page = render_metrics(&host.state).expect("a page");
    let page = String::from_utf8(page).expect("text");
    let counter = "camphorcove_refusals_total{rank=\"1\",reason=\"hot_key\"} 1";
    assert!(page.contains(counter), "{page}");
    assert!(page.contains("camphorcove_hot_keys 1"), "{page}");
}
