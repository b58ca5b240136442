//! Responses that callers receive, depending on what the backend servers do.

mod support;

use {
    camphorcove_core::fleet::ServerPhase,
    camphorcove_platform_standin::{
        caller::{call, call_on, key_header, request},
        scripted_server::{
            DEADLINE, EXPECTED_SERVER, SIGNATURE_LINE, ScriptedServer, Step, complete_response,
            misdirected_response, not_owner, not_run, response,
        },
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::fixtures::{
        TARGET_LATENCY, TIME_LIMIT, entry, host_state, owners_moving_from, owners_with,
        start_host_with, start_listener, table, version,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// A response whose body is shorter than its `Content-Length`.
fn truncated() -> Vec<Step> {
    let mut steps = response("200 OK", true, "Content-Length: 100\r\n", "only this");
    steps.push(Step::Close);
    steps
}

/// A response without a length whose connection is reset.
fn unframed_reset() -> Vec<Step> {
    let mut steps = response("200 OK", true, "", "part");
    steps.extend([Step::Wait(Duration::from_millis(50)), Step::Reset]);
    steps
}

/// A success without a signature, which therefore does not prove that the server sent it.
fn unsigned() -> Vec<Step> {
    response("200 OK", false, "Content-Length: 2\r\n", "no")
}

/// Guards against a request that is altered on the way to the server.
#[tokio::test]
async fn request_arrives_unchanged() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let extra = "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n";

    let response = call(
        host.address,
        &request("POST", "/write/a?b=c", "r1", extra, "body"),
    )
    .await;

    let (head, body) = server.log().requests[0].clone();
    assert_eq!((response.status, response.body.as_str()), (200, "fine"));
    assert!(response.head.contains(SIGNATURE_LINE));
    assert!(head.starts_with("post /write/a?b=c http/1.1"), "{head}");
    assert!(head.contains(": r1\r\n") && head.contains("x-own: kept"));
    assert!(!head.contains("x-hop"), "{head}");
    assert!(head.contains(&format!("{EXPECTED_SERVER}s-1")));
    assert_eq!(body, "body");
}

/// Guards against requests that are sent on after their callers have left: a busy host reads a
/// request and the end of its connection at the same time.
#[rstest]
#[tokio::test]
async fn request_of_a_caller_that_has_left_is_not_sent(
    #[values(("GET", "/read/a"), ("POST", "/write/a"))] (method, path): (&str, &str),
) {
    let responses = vec![complete_response("fine"), complete_response("late")];
    let server = ScriptedServer::start(responses).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    // Leaves an idle connection to the server, on which a request can be sent at once.
    let first = request(method, path, "r0", "", "");
    assert_eq!(call(host.address, &first).await.status, 200);

    // Nothing else runs on this thread, so the host reads no bytes before the next `await`.
    let mut caller = std::net::TcpStream::connect(host.address).expect("the host listens");
    let text = request(method, path, "r1", "", "");
    std::io::Write::write_all(&mut caller, text.as_bytes()).expect("written");
    drop(caller);
    sleep(Duration::from_millis(300)).await;

    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against a deadline for the server that exceeds the caller's or the route's limit.
#[tokio::test]
async fn server_gets_no_more_time_than_is_left() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;

    call(host.address, &request("GET", "/read/a", "r1", "", "")).await;

    let (head, _) = server.log().requests[0].clone();
    let line = head.lines().find_map(|line| line.strip_prefix(DEADLINE));
    let millis: u128 = line.expect("deadline").trim().parse().expect("number");
    assert!(millis <= TIME_LIMIT.as_millis(), "{millis}");
}

/// Guards against a wrong status without a configuration, without a route, and without a
/// server.
#[tokio::test]
async fn missing_configuration_route_and_server_have_their_own_status() {
    let host = start_listener(host_state()).await;

    let before = call(host.address, &request("GET", "/read/a", "r1", "", "")).await;
    host.state.set_table(table(1));
    let unknown = call(host.address, &request("GET", "/nowhere/a", "r2", "", "")).await;
    let unserved = call(host.address, &request("GET", "/read/a", "r3", "", "")).await;

    assert_eq!(
        (before.status, unknown.status, unserved.status),
        (503, 404, 503)
    );
    assert!(before.head.contains("retry-after:") && unserved.head.contains("retry-after:"));
}

/// Guards against truncated, misdirected or unsigned responses that reach a caller as a
/// success, and against a retry of a request that may run at most once.
#[rstest]
#[case::truncated(truncated())]
#[case::misdirected_response(misdirected_response())]
#[case::unframed_reset(unframed_reset())]
#[case::unsigned(unsigned())]
#[case::closed(vec![Step::Close])]
#[tokio::test]
async fn invalid_responses_are_not_forwarded(#[case] script: Vec<Step>) {
    let server = ScriptedServer::start(vec![script.clone(), complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let once = ScriptedServer::start(vec![script, complete_response("fine")]).await;
    let other = start_host_with(vec![entry("s-1", "plain", once.address)]).await;

    let read = call(host.address, &request("GET", "/read/a", "r1", "", "")).await;
    let write = call(other.address, &request("POST", "/write/a", "r2", "", "x")).await;

    assert_eq!((read.status, read.body.as_str()), (200, "fine"));
    assert_eq!(write.status, 502);
    assert_eq!(once.log().requests.len(), 1);
}

/// Guards against surplus bytes after a response that are taken for the next response.
#[tokio::test]
async fn connection_with_surplus_bytes_is_not_reused() {
    let mut surplus = complete_response("first");
    surplus.extend(misdirected_response());
    let server = ScriptedServer::start(vec![surplus, complete_response("second")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;

    let first = call(host.address, &request("POST", "/write/a", "r1", "", "x")).await;
    sleep(Duration::from_millis(50)).await;
    let second = call(host.address, &request("POST", "/write/a", "r2", "", "x")).await;

    assert_eq!(
        (first.body.as_str(), second.body.as_str()),
        ("first", "second")
    );
}

/// Guards against giving up after a server has stated that it did not run the request, and
/// against a "not run" response without `Retry-After`.
#[tokio::test]
async fn request_that_did_not_run_is_retried_or_refused() {
    let busy = ScriptedServer::start(vec![not_run()]).await;
    let free = ScriptedServer::start(vec![complete_response("fine")]).await;
    let host = start_host_with(vec![
        entry("s-1", "plain", busy.address),
        entry("s-2", "plain", free.address),
    ])
    .await;
    let full = start_host_with(vec![entry("s-1", "plain", busy.address)]).await;

    for number in 0..6 {
        let id = format!("r{number}");
        let response = call(host.address, &request("POST", "/write/a", &id, "", "x")).await;
        assert_eq!(response.status, 200);
    }
    let refused = call(full.address, &request("POST", "/write/a", "last", "", "x")).await;

    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after:"), "{}", refused.head);
}

/// Guards against a caller that is kept waiting beyond its route's time limit.
#[tokio::test]
async fn route_limit_ends_the_wait() {
    let server = ScriptedServer::start(vec![vec![Step::Wait(Duration::from_secs(9))]]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let started = Instant::now();

    let response = call(host.address, &request("POST", "/write/a", "r1", "", "x")).await;

    assert_eq!(response.status, 504);
    assert!(started.elapsed() >= TIME_LIMIT);
}

/// Guards against an idempotent request that goes on after its caller has disconnected, and
/// against an at-most-once request that is cancelled then.
#[rstest]
#[case::idempotent("GET", "/read/a", 1)]
#[case::at_most_once("POST", "/write/a", 0)]
#[tokio::test]
async fn only_idempotent_request_is_cancelled_when_its_caller_disconnects(
    #[case] method: &str,
    #[case] path: &str,
    #[case] interrupted: usize,
) {
    let mut slow = vec![Step::Wait(TIME_LIMIT * 2 / 3)];
    slow.extend(complete_response("late"));
    let server = ScriptedServer::start(vec![slow]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let mut stream = TcpStream::connect(host.address)
        .await
        .expect("gateway listens");
    let text = request(method, path, "r1", "", "");

    stream.write_all(text.as_bytes()).await.expect("sent");
    while server.log().requests.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    sleep(TIME_LIMIT).await;

    assert_eq!(server.log().interrupted_responses, interrupted);
}

/// Guards against lost requests during a stop: after SIGTERM, an attempt at a slow server was
/// abandoned and the caller got a 502, although no other attempt was left.
#[tokio::test]
async fn slow_attempt_is_not_abandoned_while_the_host_stops() {
    let mut slow = vec![Step::Wait(TARGET_LATENCY * 3)];
    slow.extend(complete_response("late"));
    let server = ScriptedServer::start(vec![slow]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let mut stream = TcpStream::connect(host.address)
        .await
        .expect("gateway listens");
    host.state.begin_stop();
    host.stop.send_replace(true);

    let response = call_on(&mut stream, &request("GET", "/read/a", "r1", "", "")).await;

    assert_eq!((response.status, response.body.as_str()), (200, "late"));
    assert!(response.head.contains("connection: close"));
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against keyed requests that fail during the short time in which a key changes owner.
#[tokio::test]
async fn keyed_request_waits_for_a_move_in_progress() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let owner = entry("s-1", "keyed", server.address);
    let host = start_host_with(vec![owner.clone()]).await;
    host.state
        .set_owners(owners_moving_from(&owner), version(1));
    let state = host.state.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(30)).await;
        state.set_owners(owners_with(&owner), version(2));
    });

    let text = request("GET", "/key/a", "r1", &key_header(77), "");
    let served = call(host.address, &text).await;

    assert_eq!(served.status, 200);
}

/// Guards against requests that wait in vain: while a key's lease had expired, or its move was
/// stuck, each request for it was held for 0.5 s and then refused.
#[rstest]
#[case::no_owner(None, 0)]
#[case::move_stuck(Some(true), 1_300)]
#[case::lease_expired(Some(false), 0)]
#[tokio::test]
async fn keyed_request_without_an_imminent_owner_is_refused_at_once(
    #[case] moving: Option<bool>,
    #[case] age_ms: u64,
) {
    let server = ScriptedServer::start(vec![not_owner()]).await;
    let owner = entry("s-1", "keyed", server.address);
    let host = start_host_with(vec![owner.clone()]).await;
    match moving {
        Some(true) => drop(
            host.state
                .set_owners(owners_moving_from(&owner), version(1)),
        ),
        Some(false) => drop(host.state.set_owners(owners_with(&owner), version(1))),
        None => {}
    }
    sleep(Duration::from_millis(age_ms)).await;
    let text = request("GET", "/key/a", "r1", &key_header(77), "");
    call(host.address, &text).await;
    let started = Instant::now();

    let refused = call(host.address, &text).await;

    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after:"));
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "{:?}",
        started.elapsed()
    );
    assert!(server.log().requests.len() <= 1);
}

/// Guards against requests to a server that is shutting down: keyed requests still reached a
/// server 2 s after it had started to drain, because no leader could move its keys.
#[tokio::test]
async fn draining_owner_gets_no_keyed_requests_after_a_while() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let mut owner = entry("s-1", "keyed", server.address);
    let host = start_host_with(vec![owner.clone()]).await;
    host.state.set_owners(owners_with(&owner), version(1));
    owner.phase = ServerPhase::Draining;
    host.state
        .apply_watched_changes(vec![owner], Vec::new(), version(2));
    let text = request("GET", "/key/a", "r1", &key_header(77), "");

    let at_first = call(host.address, &text).await;
    sleep(Duration::from_millis(1_400)).await;
    let later = call(host.address, &text).await;

    assert_eq!((at_first.status, later.status), (200, 503));
}

/// Guards against request smuggling: a request hidden in the body of another one.
#[tokio::test]
async fn ambiguous_framing_is_refused() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let extra = "Transfer-Encoding: chunked\r\n";

    let response = call(
        host.address,
        &request("POST", "/write/a", "r1", extra, "0\r\n\r\n"),
    )
    .await;

    assert_eq!(response.status, 400);
    assert!(server.log().requests.is_empty());
}

/// Guards against bodies that exhaust the memory budget, and against budget that is not
/// returned.
#[tokio::test]
async fn bodies_beyond_the_memory_budget_are_refused() {
    let server = ScriptedServer::start(vec![complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let text = request("POST", "/write/a", "r1", "", &"x".repeat(1_000));
    let mut others = host.state.body_budget.start_reservation();
    let memory = usize::try_from(host.state.settings.memory_mb << 20).expect("fits");
    others.grow(memory / 4);

    let refused = call(host.address, &text).await;
    drop(others);
    let served = call(host.address, &text).await;

    assert_eq!((refused.status, served.status), (503, 200));
    assert!(refused.head.contains("retry-after:"));
}

/// Guards against a configured header limit that is read but not applied.
#[tokio::test]
async fn header_block_beyond_the_configured_limit_is_refused() {
    let server =
        ScriptedServer::start(vec![complete_response("fine"), complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let within = format!("X-Long: {}\r\n", "x".repeat(12_000));
    let beyond = format!("X-Long: {}\r\n", "x".repeat(20_000));

    let served = call(host.address, &request("GET", "/read/a", "r1", &within, "")).await;
    let refused = call(host.address, &request("GET", "/read/a", "r2", &beyond, "")).await;

    assert_eq!((served.status, refused.status), (200, 431));
    assert_eq!(server.log().requests.len(), 1);
}

/// Guards against idle connections that are never closed, and against a connection that is
/// closed before the configured idle timeout.
#[tokio::test]
async fn idle_connection_ends_after_the_configured_time() {
    let server =
        ScriptedServer::start(vec![complete_response("fine"), complete_response("fine")]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let mut quick = table(2);
    quick.limits.header_timeout = Duration::from_millis(200);
    quick.limits.idle_timeout = Duration::from_millis(800);
    host.state.set_table(quick);
    let text = request("GET", "/read/a", "r1", "", "");
    let mut stream = TcpStream::connect(host.address).await.expect("listens");

    let first = call_on(&mut stream, &text).await;
    sleep(Duration::from_millis(640)).await;
    let second = call_on(&mut stream, &text).await;
    let mut rest = Vec::new();
    let closed = timeout(TIME_LIMIT * 2, stream.read_to_end(&mut rest)).await;

    assert_eq!((first.status, second.status), (200, 200));
    assert!(closed.is_ok(), "still open");
}
