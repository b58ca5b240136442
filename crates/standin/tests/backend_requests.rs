//! Requests to the backend stand-in: which ones run, which are refused as not run,
//! and what the ledger records.

mod support;

use {
    camphorcove_core::headers,
    camphorcove_standin::backend::BackendSettings,
    http::{Request, StatusCode, request::Builder},
    rstest::rstest,
    support::{ENDLESS, backend, exchange, grant, is_not_run, keyed, send, start_endless, token},
};

// In each case, the server holds shard 3 under token 1.5.
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

// Guards against running a request with the token of a former owner after a request
// with the token of a newer owner arrived.
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
// The server's clock is one hour ahead, so a deadline on the host's clock is past.
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

// Guards against refusing requests for shards that a draining server still holds.
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

// The router reads the server's clock with `OPTIONS *`. If the probe were recorded in
// the ledger, tests would count it as a request that no caller sent.
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
