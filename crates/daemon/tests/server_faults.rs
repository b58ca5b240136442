//! Faults of servers: the caller gets the right result code, and a request that may have run is
//! not sent again.

mod support;

use {
    camphorcove_core::conf::{FencingMode, RoutingMode, ServiceConfig},
    rstest::rstest,
    socket2::{Domain, Socket, Type},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Cluster, FakeServer, MapSpec, ServerAction, call, get, ok_reply, service},
    tokio::time::sleep,
};

/// Timeout of requests that are meant to exceed it, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 150;

/// Timeout of requests that are meant to end before it, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 5_000;

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

fn truncated_reply() -> String {
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part".into()
}

fn reply_truncated_in_chunk() -> String {
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n20\r\nonly a part".into()
}

fn idempotent(mut service: ServiceConfig) -> ServiceConfig {
    service.idempotent_methods = vec!["GET".into()];
    service
}

/// Binds a port that refuses connections: no other test can get it, and nothing listens on it.
fn bind_refusing_port() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
    socket.bind(&any.into()).expect("bind");
    let address = socket.local_addr().expect("address").as_socket();
    (socket, address.expect("IPv4"))
}

/// Each fault with the HTTP status, the result code, whether the request ran as the caller is
/// told, and how often it ran.
#[rstest]
#[case::reply_lost_by_close(ServerAction::ReplyThenClose(String::new()), (502, 301, "may-have-run", 1))]
#[case::reply_lost_by_reset(ServerAction::ReplyThenReset(String::new()), (502, 301, "may-have-run", 1))]
#[case::reset_after_head(ServerAction::ResetAfterHead, (502, 301, "may-have-run", 0))]
#[case::reply_head_cut(ServerAction::ReplyThenClose("HTTP/1.1 200 O".into()), (502, 301, "may-have-run", 1))]
#[case::reply_malformed(ServerAction::ReplyThenClose("nonsense\r\n\r\n".into()), (502, 303, "may-have-run", 1))]
#[case::reply_with_status_000(
    ServerAction::ReplyThenClose("HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok".into()),
    (502, 303, "may-have-run", 1)
)]
#[case::reply_without_end(ServerAction::ReplyThenClose("HTTP/1.1 200 OK\r\n\r\nx".into()), (502, 303, "may-have-run", 1))]
#[case::reply_with_two_lengths(
    ServerAction::ReplyThenClose("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxy".into()),
    (502, 303, "may-have-run", 1)
)]
#[case::stall_past_the_deadline(ServerAction::Stall, (504, 302, "may-have-run", 1))]
#[case::always_sheds(ServerAction::Shed, (503, 112, "not-run", 0))]
#[tokio::test]
async fn a_fault_has_one_code_and_one_verdict(
    #[case] action: ServerAction,
    #[case] expected: (u16, u16, &str, usize),
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
    #[values(0, 1)] forwarder: usize,
) {
    let timeout = match action {
        ServerAction::Stall => format!("x-request-timeout-ms: {SHORT_TIMEOUT_MS}\r\n"),
        _ => String::new(),
    };
    let server = FakeServer::start(move |_, _| action.clone()).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(routing), &spec).await;
    let request = post("/s/k", &timeout, "booking");

    let answer = call(cluster.caller(), request).await;

    let (status, code, execution, ran) = expected;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.code(), Some(code));
    assert_eq!(answer.execution(), Some(execution));
    assert!(answer.complete);
    assert_eq!(server.ran(), ran);
}

#[rstest]
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran(#[values(0, 1)] forwarder: usize) {
    let (_socket, address) = bind_refusing_port();
    let spec = MapSpec::new(&[(address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;

    let answer = call(cluster.caller(), post("/s/k", "", "booking")).await;

    assert_eq!(
        (answer.status, answer.code()),
        (502, Some(111)),
        "{answer:?}"
    );
    assert_eq!(answer.execution(), Some("not-run"));
    assert_eq!(answer.header("retry-after"), Some("1"));
}

/// Guards against truncated replies that the caller takes for complete ones.
#[rstest]
#[case::length_then_close(ServerAction::ReplyThenClose(truncated_reply()))]
#[case::length_then_reset(ServerAction::ReplyThenReset(truncated_reply()))]
#[case::chunk_then_close(ServerAction::ReplyThenClose(reply_truncated_in_chunk()))]
#[case::no_last_chunk(ServerAction::ReplyThenClose(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n".into()
))]
#[tokio::test]
async fn a_cut_reply_reaches_the_caller_as_aborted(
    #[case] action: ServerAction,
    #[values(0, 1)] forwarder: usize,
) {
    let server = FakeServer::start(move |_, _| action.clone()).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, idempotent(service(RoutingMode::Keyed)), &spec).await;

    let answer = get(cluster.caller(), "/s/k", "").await;

    assert!(!answer.complete, "{answer:?}");
    assert_eq!(server.ran(), 1);
}

/// The request is sent again only if the service's file declares its method idempotent.
#[rstest]
#[case::undeclared(false, Some(301), 1)]
#[case::declared(true, Some(200), 2)]
#[tokio::test]
async fn a_lost_reply_is_retried_only_for_declared_methods(
    #[case] declared: bool,
    #[case] code: Option<u16>,
    #[case] ran: usize,
    #[values(0, 1)] forwarder: usize,
) {
    let server = FakeServer::start(|number, _| match number {
        0 => ServerAction::ReplyThenClose(String::new()),
        _ => ServerAction::Reply(ok_reply("log")),
    })
    .await;
    let plain = service(RoutingMode::Keyed);
    let service = if declared { idempotent(plain) } else { plain };
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service, &spec).await;

    let answer = get(cluster.caller(), "/s/k", "").await;

    assert_eq!(answer.code(), code, "{answer:?}");
    assert_eq!(server.ran(), ran);
}

/// A reply with this framing header and this framed body.
fn framed_reply(line: &str, framed: &str) -> String {
    format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-server-clock: 5000000\r\n{line}\r\n{framed}"
    )
}

/// Guards against a short or empty body that the caller takes for a complete success: the server
/// stops at each byte of its reply.
#[rstest]
#[case::length(framed_reply("content-length: 10\r\n", "0123456789"), 0)]
// The line break behind the last chunk carries nothing of the body.
#[case::chunks(
    framed_reply("transfer-encoding: chunked\r\n", "a\r\n0123456789\r\n0\r\n\r\n"),
    2
)]
#[case::connection(framed_reply("", "0123456789"), 0)]
#[case::other_coding(framed_reply("transfer-encoding: gzip\r\n", "0123456789"), 0)]
#[tokio::test]
async fn a_reply_cut_anywhere_is_no_complete_success(
    #[case] reply: String,
    #[case] uncounted: usize,
    #[values(0, 1)] forwarder: usize,
    #[values(true, false)] is_reset: bool,
) {
    let last = reply.len() - uncounted;
    let server = FakeServer::start(move |number, _| {
        let part = reply[..number.min(last - 1)].to_owned();
        match is_reset {
            true => ServerAction::ReplyThenReset(part),
            false => ServerAction::ReplyThenClose(part),
        }
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;

    for sent in 0..last {
        let answer = call(cluster.caller(), post("/s/k", "", "booking")).await;

        assert_eq!(server.ran(), sent + 1);
        assert!(
            answer.status != 200 || !answer.complete,
            "cut after {sent} bytes: {answer:?}"
        );
    }
}

/// A server's statement that it did not run a request makes a retry safe, also of a request with
/// a small body.
#[rstest]
#[tokio::test]
async fn a_shed_request_is_sent_again_with_its_body(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|number, _| match number {
        0 => ServerAction::Shed,
        _ => ServerAction::Reply(ok_reply("booked")),
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;

    let answer = call(cluster.caller(), post("/s/k", "", "raft 17")).await;

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert_eq!(server.ran(), 1);
    let bodies: Vec<Vec<u8>> = server.seen().into_iter().map(|seen| seen.body).collect();
    assert_eq!(bodies, [b"raft 17", b"raft 17"]);
}

/// Guards against a request that runs twice, or runs although its caller is told that it did not:
/// a late copy of the refusal of an earlier request was taken for the answer to the next one.
#[rstest]
#[tokio::test]
async fn a_refusal_written_twice_answers_one_request(
    #[values(0, 1)] forwarder: usize,
    #[values(0, 1, 30)] gap_ms: u64,
) {
    let server = FakeServer::start(move |number, _| match number {
        0 => ServerAction::ShedTwice(Duration::from_millis(gap_ms)),
        _ => ServerAction::Reply(ok_reply("booked")),
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;

    let answer = call(cluster.caller(), post("/s/k", "", "raft 17")).await;
    sleep(Duration::from_millis(2 * gap_ms)).await;

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert_eq!(server.ran(), 1);
}

/// Guards against errors for callers when a server closes an idle connection that the router
/// would use next.
#[rstest]
#[tokio::test]
async fn a_closed_idle_connection_is_replaced(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|number, _| match number {
        0 => ServerAction::ReplyThenClose(ok_reply("first")),
        _ => ServerAction::Reply(ok_reply("second")),
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let first = call(cluster.caller(), post("/s/k", "", "1")).await;
    server.wait_open(0).await;

    let second = call(cluster.caller(), post("/s/k", "", "2")).await;

    assert_eq!(
        (first.code(), second.code()),
        (Some(200), Some(200)),
        "{second:?}"
    );
    assert_eq!(server.ran(), 2);
}

/// Guards against retries that double the load while a server is down: they are limited to the
/// retry budget.
#[tokio::test]
async fn retries_stay_within_the_budget() {
    let server = FakeServer::start(|_, _| ServerAction::Shed).await;
    let spec = MapSpec::new(&[(server.address, 0)]);
    let cluster = Cluster::start(1, service(RoutingMode::Keyed), &spec).await;

    for _ in 0..100 {
        let answer = call(cluster.caller(), post("/s/k", "", "")).await;
        assert_eq!(answer.code(), Some(112), "{answer:?}");
    }

    // The budget starts with 10 retries and earns 10% of 100 requests.
    assert!(server.seen().len() <= 120, "{} sent", server.seen().len());
}

/// A server that does not check ownership tokens must get each request with a deadline on its
/// own clock.
#[rstest]
#[tokio::test]
async fn an_unchecked_server_is_always_given_a_deadline(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("ok"))).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let mut service = service(RoutingMode::Keyed);
    service.fencing = FencingMode::Unchecked;
    let cluster = Cluster::start(2, service, &spec).await;

    let answer = get(cluster.caller(), "/s/k", "x-request-timeout-ms: 1000\r\n").await;

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    let deadline: u64 = server.seen()[0]
        .header("x-camphorcove-deadline")
        .expect("deadline")
        .parse()
        .expect("number");
    // The fake server's clock always reads 5 s, and the timeout is 1 s.
    assert!((5_000_000..=6_000_000).contains(&deadline), "{deadline}");
}

/// Guards against a server that keeps a host busy with interim responses until the request's deadline.
#[rstest]
#[case::nothing_else("")]
#[case::half_a_head("HTTP/1.1 100 Continue\r\n")]
#[tokio::test]
async fn interim_responses_without_end_end_the_request(
    #[case] start: &str,
    #[values(0, 1)] forwarder: usize,
) {
    let start = start.to_owned();
    let server = FakeServer::start(move |_, _| {
        let part = match start.is_empty() {
            true => "HTTP/1.1 100 Continue\r\n\r\n",
            false => "\r\nHTTP/1.1 103 Early Hints\r\n",
        };
        ServerAction::ReplyWithoutEnd(start.clone(), part)
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let timeout = format!("x-request-timeout-ms: {LONG_TIMEOUT_MS}\r\n");

    let answer = call(cluster.caller(), post("/s/k", &timeout, "booking")).await;

    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.execution(), Some("may-have-run"));
    server.wait_dropped(1).await;
}

/// Guards against a host that keeps the body of an answer which only serves to read the server's clock,
/// and which does not end, until the request's deadline.
#[rstest]
#[tokio::test]
async fn clock_reply_without_end_is_not_kept(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("ok"))).await;
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-server-clock: 5000000\r\n\r\n";
    server.set_clock_action(ServerAction::ReplyWithoutEnd(
        head.into(),
        "10\r\n0123456789abcdef\r\n",
    ));
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let mut service = service(RoutingMode::Keyed);
    service.fencing = FencingMode::Unchecked;
    let cluster = Cluster::start(2, service, &spec).await;
    let timeout = format!("x-request-timeout-ms: {LONG_TIMEOUT_MS}\r\n");

    let started = Instant::now();

    let answer = get(cluster.caller(), "/s/k", &timeout).await;

    // The head of the reply has told the clock, and a new connection carries the request.
    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(LONG_TIMEOUT_MS) / 2);
    server.wait_dropped(1).await;
}

/// A request to an unkeyed service is sent to another server if the first refuses connections.
#[rstest]
#[tokio::test]
async fn a_free_request_goes_to_another_server(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("ok"))).await;
    let (_socket, address) = bind_refusing_port();
    let spec = MapSpec::new(&[(address, forwarder), (server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Free), &spec).await;

    for _ in 0..20 {
        let answer = call(cluster.caller(), post("/s", "", "x")).await;
        assert_eq!(answer.code(), Some(200), "{answer:?}");
    }

    assert_eq!(server.ran(), 20);
}
