//! Requests at the backend stand-in: what runs, what is refused as not run,
//! and what the ledger says of it.

use {
    bytes::Bytes,
    camphorcove_core::{
        control::{ServerOrder, ServerResult, ShardGrant},
        headers,
        ids::{Epoch, FencingToken, ShardId},
    },
    camphorcove_net::{
        http::{ExchangeError, HttpClient},
        servers::{GrantProtocol, HttpGrants},
    },
    camphorcove_standin::backend::{BackendSettings, BackendStandin, BackendStats},
    http::{Request, Response, StatusCode, request::Builder},
    http_body_util::Full,
    rstest::rstest,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

const PATIENT: Duration = Duration::from_secs(30);
const LONG: Duration = Duration::from_secs(600);

/// A request that is still running when a test looks at it.
const ENDLESS: &str = "/?work_ms=600000";

async fn backend(change: impl FnOnce(&mut BackendSettings)) -> BackendStandin {
    let backend = BackendStandin::with_settings(BackendSettings::default())
        .await
        .unwrap();
    backend.change(change);
    backend
}

fn token(sequence: u64) -> FencingToken {
    FencingToken {
        epoch: Epoch(1),
        sequence,
    }
}

async fn grant(backend: &BackendStandin, set: u64, shard: u32, sequence: u64) {
    let order = ServerOrder::Grant {
        service: "ledig".parse().unwrap(),
        epoch: Epoch(1),
        set,
        shards: vec![ShardGrant {
            shard: ShardId(shard),
            token: token(sequence),
        }],
        ttl: LONG,
    };
    let sent = HttpGrants::default()
        .send(backend.address(), &order, None, PATIENT)
        .await;
    assert_eq!(sent.unwrap().reply.result, ServerResult::Done);
}

fn keyed(target: &str, shard: u32, sequence: u64) -> Builder {
    Request::get(target)
        .header(headers::SERVER_SERVICE, "ledig")
        .header(headers::SERVER_SHARD, shard)
        .header(headers::SERVER_TOKEN, token(sequence).to_string())
}

async fn exchange(
    address: SocketAddr,
    request: Builder,
    body: &'static str,
) -> Result<Response<Bytes>, ExchangeError> {
    let request = request.body(Full::from(body)).unwrap();
    HttpClient::default()
        .exchange(address, request, PATIENT)
        .await
}

async fn send(backend: &BackendStandin, request: Builder) -> Response<Bytes> {
    exchange(backend.address(), request, "").await.unwrap()
}

fn is_not_run(reply: &Response<Bytes>) -> bool {
    let verdict = reply.headers().get(headers::SERVER_VERDICT);
    verdict.is_some_and(|verdict| verdict == "not-run")
}

async fn wait_for(backend: &BackendStandin, condition: impl Fn(&BackendStats) -> bool) {
    let waiting = async {
        while !condition(&backend.stats()) {
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(PATIENT, waiting).await;
    assert!(waited.is_ok(), "stats: {:?}", backend.stats());
}

/// Starts a request that runs until its connection closes.
async fn start_endless(
    backend: &BackendStandin,
    request: Builder,
) -> tokio::task::JoinHandle<Result<Response<Bytes>, ExchangeError>> {
    let before = backend.stats().in_flight;
    let address = backend.address();
    let task = tokio::spawn(exchange(address, request, ""));
    wait_for(backend, |stats| stats.in_flight > before).await;
    task
}

// The server holds shard 3 under token 1.5.
#[rstest]
#[case::owner(keyed("/", 3, 5), true)]
#[case::lower_token(keyed("/", 3, 4), false)]
#[case::higher_token(keyed("/", 3, 6), false)]
#[case::other_shard(keyed("/", 4, 5), false)]
#[case::no_token(Request::get("/").header(headers::SERVER_SHARD, 3), false)]
#[case::no_shard(Request::get("/"), true)]
#[tokio::test]
async fn a_checking_server_runs_only_what_it_holds(#[case] request: Builder, #[case] runs: bool) {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;

    let reply = send(&backend, request).await;

    assert_eq!(is_not_run(&reply), !runs);
    assert_eq!(backend.ledger().len(), usize::from(runs));
}

// Guards against a former owner being served after a new owner's request came.
#[tokio::test]
async fn a_request_with_a_higher_token_raises_the_fence() {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;
    send(&backend, keyed("/", 3, 6)).await;

    let reply = send(&backend, keyed("/", 3, 5)).await;

    assert!(is_not_run(&reply));
}

#[tokio::test]
async fn an_unchecked_server_runs_any_token() {
    let backend = backend(|settings| settings.unchecked = true).await;

    let reply = send(&backend, keyed("/", 3, 1)).await;

    assert_eq!(reply.status(), StatusCode::OK);
    assert_eq!(backend.ledger()[0].token, Some(token(1)));
}

#[rstest]
#[case::passed(|clock: u64| clock, false)]
#[case::ahead(|clock: u64| clock + 60_000_000, true)]
// A deadline on the host's clock lies in the server's past, as its clock is ahead.
#[case::host_clock(|clock: u64| clock - 3_600_000_000 + 60_000_000, false)]
#[tokio::test]
async fn deadlines_are_on_the_servers_clock(
    #[case] deadline: fn(u64) -> u64,
    #[case] runs: bool,
    #[values(false, true)] unchecked: bool,
) {
    let backend = backend(|settings| settings.unchecked = unchecked).await;
    let deadline = deadline(backend.clock().0);

    let request = Request::get("/").header(headers::SERVER_DEADLINE, deadline);
    let reply = send(&backend, request).await;

    assert_eq!(is_not_run(&reply), !runs);
}

#[rstest]
#[case::shedding(|settings: &mut BackendSettings| settings.shed = true, Request::get("/"))]
#[case::draining(|settings: &mut BackendSettings| settings.draining = true, Request::get("/"))]
#[case::no_slot(|settings: &mut BackendSettings| settings.slots = 0, Request::get("/"))]
#[tokio::test]
async fn refusals_are_marked_as_not_run(
    #[case] change: fn(&mut BackendSettings),
    #[case] request: Builder,
) {
    let backend = backend(change).await;

    let reply = send(&backend, request).await;

    assert_eq!(reply.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(is_not_run(&reply));
    assert_eq!(backend.ledger(), []);
}

// A draining server keeps its shards until they are released.
#[tokio::test]
async fn a_draining_server_still_serves_its_shards() {
    let backend = backend(|settings| settings.draining = true).await;
    grant(&backend, 1, 3, 5).await;

    let reply = send(&backend, keyed("/", 3, 5)).await;

    assert_eq!(reply.status(), StatusCode::OK);
}

#[tokio::test]
async fn requests_beyond_the_slots_are_shed() {
    let backend = backend(|settings| settings.slots = 1).await;
    let running = start_endless(&backend, Request::get(ENDLESS)).await;

    let reply = send(&backend, Request::get("/")).await;

    assert!(is_not_run(&reply));
    assert_eq!(backend.stats().peak_in_flight, 1);
    running.abort();
}

#[tokio::test]
async fn connections_beyond_the_cap_are_closed() {
    let backend = backend(|settings| settings.connections = 1).await;
    let running = start_endless(&backend, Request::get(ENDLESS)).await;

    let result = exchange(backend.address(), Request::get("/"), "").await;

    assert!(result.is_err(), "{result:?}");
    assert_eq!(backend.stats().refused_connections, 1);
    running.abort();
}

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

// Guards against a move that starts the new owner while the old one still works.
#[tokio::test]
async fn a_release_waits_for_running_requests_of_its_shards() {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;
    let running = start_endless(&backend, keyed(ENDLESS, 3, 5)).await;
    let release = release(3, 5);
    let grants = HttpGrants::default();
    let sent = grants.send(backend.address(), &release, None, PATIENT);
    let mut sent = std::pin::pin!(sent);

    // The fence shows that the release has arrived; it must not be answered yet.
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

// A server that froze before it looked at a request must not run it past the
// deadline when it resumes.
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

    backend.change(|settings| settings.frozen = false);
    let late = late.await.unwrap().unwrap();
    let timely = timely.await.unwrap().unwrap();

    assert!(is_not_run(&late));
    assert_eq!(timely.status(), StatusCode::OK);
    assert_eq!(backend.ledger().len(), 1);
}

// The router asks for the clock with it; a run in the ledger would be counted
// as a request that no caller sent.
#[tokio::test]
async fn a_clock_probe_runs_nothing() {
    let backend = backend(|settings| settings.slots = 0).await;

    let reply = send(&backend, Request::options("*")).await;

    assert_eq!(reply.status(), StatusCode::OK);
    assert!(reply.headers().contains_key(headers::SERVER_CLOCK));
    assert_eq!(backend.ledger(), []);
}

#[rstest]
#[case::dedup(true, 1)]
#[case::no_dedup(false, 2)]
#[tokio::test]
async fn a_repeated_idempotency_key(#[case] dedup: bool, #[case] runs: usize) {
    let backend = backend(|settings| settings.dedup = dedup).await;

    for _ in 0..2 {
        let request = Request::post("/").header(headers::IDEMPOTENCY_KEY, "claim-1");
        let reply = send(&backend, request).await;
        assert_eq!(reply.status(), StatusCode::OK);
    }

    assert_eq!(backend.ledger().len(), runs);
}

#[tokio::test]
async fn the_ledger_names_the_request() {
    let backend = backend(|_| {}).await;
    grant(&backend, 1, 3, 5).await;
    let request = keyed("/rafts/17?x=1", 3, 5)
        .header(headers::REQUEST_ID, "req-1")
        .header(headers::IDEMPOTENCY_KEY, "claim-1");

    let reply = send(&backend, request).await;

    let entry = &backend.ledger()[0];
    assert_eq!(reply.headers()[headers::REQUEST_ID], "req-1");
    assert_eq!(entry.request_id.as_deref(), Some("req-1"));
    assert_eq!(entry.idempotency_key.as_deref(), Some("claim-1"));
    assert_eq!((entry.shard, entry.token), (Some(3), Some(token(5))));
    assert_eq!(
        (entry.method.as_str(), entry.path.as_str()),
        ("GET", "/rafts/17?x=1")
    );
    assert!(entry.ended >= Some(entry.started) && !entry.cancelled);
}

#[rstest]
#[case::echo("/", "hello", 200, 5)]
#[case::sized("/?size=1048577", "hello", 200, 1_048_577)]
#[case::status("/?status=500&size=3", "", 500, 3)]
#[tokio::test]
async fn bodies_and_statuses_on_request(
    #[case] target: &str,
    #[case] body: &'static str,
    #[case] status: u16,
    #[case] length: usize,
) {
    let backend = backend(|_| {}).await;

    let reply = exchange(backend.address(), Request::post(target), body).await;

    let reply = reply.unwrap();
    assert_eq!(
        (reply.status().as_u16(), reply.body().len()),
        (status, length)
    );
    assert!(!is_not_run(&reply));
}

#[rstest]
#[case::truthful(|_: &mut BackendSettings| {}, StatusCode::OK, 1)]
#[case::false_load(|settings: &mut BackendSettings| settings.false_load = Some(9), StatusCode::OK, 9)]
#[case::lagging(|settings: &mut BackendSettings| settings.report_lag_ms = 600_000, StatusCode::OK, 0)]
#[case::falsely_ill(
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
async fn health_reports_can_lie(
    #[case] change: fn(&mut BackendSettings),
    #[case] status: StatusCode,
    #[case] load: u32,
) {
    let backend = backend(|_| {}).await;
    let running = start_endless(&backend, Request::get(ENDLESS)).await;
    backend.change(change);

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

// Experiments with uneven servers rest on these factors.
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
