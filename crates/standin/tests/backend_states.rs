//! States of the backend stand-in: running, cancelled and frozen requests, false
//! health reports, and the control port.

mod support;

use {
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        headers,
        ids::{Epoch, ShardId},
    },
    camphorcove_net::servers::{GrantProtocol, HttpGrants},
    camphorcove_standin::backend::{BackendSettings, BackendStandin},
    http::{Request, StatusCode},
    rstest::rstest,
    serde_json::{Value, json},
    std::time::Duration,
    support::{
        ENDLESS, TEST_TIMEOUT, backend, exchange, grant, is_not_run, keyed, send, start_endless,
        token, wait_for,
    },
};

#[tokio::test]
async fn closing_the_connection_cancels_the_run() {
    let backend = backend(|_| {}).await;
    let running = start_endless(&backend, Request::get(ENDLESS)).await;

    running.abort();
    wait_for(&backend, |stats| stats.cancelled == 1).await;

    let entry = &backend.ledger()[0];
    assert!(entry.cancelled && entry.ended.is_some(), "{entry:?}");
    assert_eq!(backend.stats().in_flight, 0);
}

// Guards against a shard move in which the new owner starts while the old one still
// runs a request.
#[tokio::test]
async fn a_release_waits_for_running_requests_of_its_shards() {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;
    let running = start_endless(&backend, keyed(ENDLESS, 3, 5)).await;
    let release = release(3, 5);
    let grants = HttpGrants::default();
    let sent = grants.send(backend.address(), &release, None, TEST_TIMEOUT);
    let mut sent = std::pin::pin!(sent);

    // A refusal shows that the release has been applied; it must not be answered yet.
    tokio::select! {
        result = &mut sent => panic!("answered while a request ran: {result:?}"),
        () = wait_for_refusal(&backend, 3, 5) => {}
    }
    running.abort();
    let reply = sent.await.unwrap();

    assert_eq!(reply.reply.result, ServerResult::Done);
    assert_eq!(backend.stats().in_flight, 0);
}

fn release(shard: u32, sequence: u64) -> ServerOrder {
    ServerOrder::Release {
        service: "ledig".parse().unwrap(),
        epoch: Epoch(1),
        shards: vec![ShardGrant {
            shard: ShardId(shard),
            token: token(sequence),
        }],
    }
}

async fn wait_for_refusal(backend: &BackendStandin, shard: u32, sequence: u64) {
    while !is_not_run(&send(backend, keyed("/", shard, sequence)).await) {}
}

// Guards against running a request past its deadline when a server that froze before
// checking the request resumes.
#[tokio::test]
async fn requests_queued_during_a_freeze_are_checked_on_resume() {
    let backend = backend(|settings| settings.frozen = true).await;
    let ahead = backend.clock().0 + 60_000_000;
    let address = backend.address();
    let late = Request::get("/late").header(headers::SERVER_DEADLINE, backend.clock().0);
    let timely = Request::get("/timely").header(headers::SERVER_DEADLINE, ahead);
    let late = tokio::spawn(exchange(address, late, ""));
    let timely = tokio::spawn(exchange(address, timely, ""));
    wait_for(&backend, |stats| stats.connections == 2).await;
    assert_eq!(backend.ledger(), []);

    backend.update_settings(|settings| settings.frozen = false);
    let late = late.await.unwrap().unwrap();
    let timely = timely.await.unwrap().unwrap();

    assert!(is_not_run(&late));
    assert_eq!(timely.status(), StatusCode::OK);
    assert_eq!(backend.ledger().len(), 1);
}

#[rstest]
#[case::truthful(|_: &mut BackendSettings| {}, StatusCode::OK, 1)]
#[case::false_load(|settings: &mut BackendSettings| settings.false_load = Some(9), StatusCode::OK, 9)]
#[case::lagging(|settings: &mut BackendSettings| settings.report_lag_ms = 600_000, StatusCode::OK, 0)]
#[case::falsely_unready(
    |settings: &mut BackendSettings| settings.false_ready = Some(false),
    StatusCode::SERVICE_UNAVAILABLE,
    1
)]
#[case::draining(
    |settings: &mut BackendSettings| settings.draining = true,
    StatusCode::SERVICE_UNAVAILABLE,
    1
)]
#[tokio::test]
async fn health_reports_can_be_false(
    #[case] change: fn(&mut BackendSettings),
    #[case] status: StatusCode,
    #[case] load: u32,
) {
    let backend = backend(|_| {}).await;
    let running = start_endless(&backend, Request::get(ENDLESS)).await;
    backend.update_settings(change);

    let reply = send(&backend, Request::get("/health")).await;

    let report: Value = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(reply.status(), status);
    assert_eq!(report["in_flight"], load);
    running.abort();
}

#[tokio::test]
async fn settings_and_records_are_reachable_over_the_control_port() {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;
    let control = backend.control_address();

    let patch = Request::patch("/control/settings");
    let patched = exchange(control, patch, r#"{"shed": true}"#).await.unwrap();
    let misspelt = Request::patch("/control/settings");
    let misspelt = exchange(control, misspelt, r#"{"shedd": true}"#)
        .await
        .unwrap();
    let refused = send(&backend, Request::get("/")).await;
    let stats = exchange(control, Request::get("/control/stats"), "")
        .await
        .unwrap();
    let intervals = Request::get("/control/intervals?service=ledig");
    let intervals = exchange(control, intervals, "").await.unwrap();

    assert_eq!(patched.status(), StatusCode::OK);
    assert_eq!(misspelt.status(), StatusCode::BAD_REQUEST);
    assert!(is_not_run(&refused));
    let stats: Value = serde_json::from_slice(stats.body()).unwrap();
    assert_eq!(stats["not_run"], 1);
    let intervals: Value = serde_json::from_slice(intervals.body()).unwrap();
    assert_eq!(intervals[0]["token"], json!({"epoch": 1, "sequence": 5}));
}

// Experiments with servers of different speed depend on these factors.
#[rstest]
#[case::ordinary(100, false, 4)]
#[case::half_speed(50, false, 8)]
#[case::stopped_counts_as_one_percent(0, false, 400)]
#[case::cold(100, true, 40)]
fn slow_and_cold_servers_take_longer(
    #[case] speed: u32,
    #[case] cold: bool,
    #[case] expected_ms: u64,
) {
    let settings = BackendSettings {
        speed,
        ..BackendSettings::default()
    };

    let span = settings.scaled(Duration::from_millis(4), cold);

    assert_eq!(span, Duration::from_millis(expected_ms));
}
