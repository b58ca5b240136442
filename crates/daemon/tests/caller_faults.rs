//! Faults of callers: ambiguous, oversized or broken requests, and callers that disconnect or
//! do not read.

mod support;

use {
    camphorcove_core::conf::{RoutingMode, ServiceConfig, TimeSpan},
    rstest::rstest,
    std::sync::atomic::Ordering::Relaxed,
    support::{
        Answer, Cluster, FakeServer, MapSpec, RawCaller, ServerAction, call, get, ok_reply, service,
    },
};

fn with_small_limits(mut service: ServiceConfig) -> ServiceConfig {
    service.limits.max_body = 1_000;
    service.limits.max_header = 2_000;
    service
}

async fn start(forwarder: usize) -> (FakeServer, Cluster) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("ok"))).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, with_small_limits(service(RoutingMode::Keyed)), &spec).await;
    (server, cluster)
}

/// Guards against request smuggling: if router and server disagree on where a body ends, the
/// server runs a hidden second request.
#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 4\r\n", "abcd")]
#[case::same_length_twice("content-length: 3\r\ncontent-length: 3\r\n", "abc")]
#[case::length_list("content-length: 3, 3\r\n", "abc")]
#[case::length_then_chunked("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n")]
#[case::chunked_then_length("transfer-encoding: chunked\r\ncontent-length: 3\r\n", "0\r\n\r\n")]
#[case::chunked_twice(
    "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
    "0\r\n\r\n"
)]
#[case::unknown_coding("transfer-encoding: gzip\r\n", "x")]
#[case::coding_list("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n")]
#[case::signed_length("content-length: +3\r\n", "abc")]
#[case::space_before_colon("content-length : 3\r\n", "abc")]
#[case::folded_line("x-a: 1\r\n content-length: 3\r\n", "abc")]
#[tokio::test]
async fn ambiguous_framing_is_refused(
    #[case] headers: &str,
    #[case] body: &str,
    #[values(0, 1)] forwarder: usize,
) {
    let (server, cluster) = start(forwarder).await;
    let smuggled = "GET /s/smuggled HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
    let request = format!("POST /s/k HTTP/1.1\r\nhost: t\r\n{headers}\r\n{body}{smuggled}");

    let answer = call(cluster.caller(), request).await;

    assert_eq!(answer.status, 400, "{answer:?}");
    assert!(server.seen().is_empty(), "{:?}", server.seen());
}

/// The check of the framing must know where a body ends, or it would refuse body data that looks
/// like headers.
#[rstest]
#[case::length(
    "content-length: 48\r\n",
    "\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\n"
)]
#[case::chunked(
    "transfer-encoding: chunked\r\n",
    "30;note=1\r\n\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\n\r\n0\r\ntrailer: 1\r\n\r\n"
)]
#[tokio::test]
async fn bodies_that_look_like_headers_pass(#[case] headers: &str, #[case] body: &str) {
    let (server, cluster) = start(0).await;
    let first = format!("POST /s/a HTTP/1.1\r\nhost: t\r\n{headers}\r\n{body}");
    let second = "GET /s/b HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

    // Byte by byte, so that a read ends in every state of the check.
    let mut caller = RawCaller::connect(cluster.caller()).await;
    for byte in first.bytes() {
        caller.send([byte]).await;
    }
    caller.send(second).await;
    let answer = caller.finish().await;

    assert_eq!(answer.status, 200, "{answer:?}");
    server.wait_seen(2).await;
    let expected = b"\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\n";
    assert_eq!(server.seen()[0].body, expected);
}

#[rstest]
#[case::http_1_0("GET /s/k HTTP/1.0\r\nhost: t\r\n\r\n", 505, 119)]
#[case::two_hosts("GET /s/k HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400, 102)]
#[case::other_target("GET http://b/s/k HTTP/1.1\r\nhost: a\r\n\r\n", 400, 102)]
#[case::trace("TRACE /s/k HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::dot_segment("GET /s/../x/k HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::encoded_dots("GET /s/%2e%2E/k HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::no_key("GET /s HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::empty_key("GET /s/ HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::bad_escape("GET /s/%zz HTTP/1.1\r\nhost: t\r\n\r\n", 400, 102)]
#[case::bad_timeout(
    "GET /s/k HTTP/1.1\r\nhost: t\r\nx-request-timeout-ms: soon\r\n\r\n",
    400,
    102
)]
#[case::no_service("GET /sauna HTTP/1.1\r\nhost: t\r\n\r\n", 404, 101)]
#[case::zero_time(
    "GET /s/k HTTP/1.1\r\nhost: t\r\nx-request-timeout-ms: 0\r\n\r\n",
    503,
    107
)]
#[tokio::test]
async fn a_request_that_cannot_be_routed_is_refused(
    #[case] request: &str,
    #[case] status: u16,
    #[case] code: u16,
) {
    let (server, cluster) = start(0).await;
    let request = request.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);

    let answer = call(cluster.caller(), request).await;

    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.execution(), Some("not-run"));
    if code != 107 {
        assert_eq!(answer.code(), Some(code));
    }
    assert!(server.seen().is_empty());
}

/// The body limit holds for declared and for undeclared lengths, and the server runs no request
/// whose body exceeds it or breaks off.
#[rstest]
#[case::declared("content-length: 1001\r\n", "", 413, 104, "not-run")]
#[case::undeclared("transfer-encoding: chunked\r\n", "3e9\r\n", 413, 308, "may-have-run")]
#[case::broken_chunk(
    "transfer-encoding: chunked\r\n",
    "5\r\nabcdeXX0\r\n\r\n",
    400,
    309,
    "may-have-run"
)]
#[tokio::test]
async fn a_body_over_the_limit_or_broken_never_runs(
    #[case] headers: &str,
    #[case] start_of_body: &str,
    #[case] status: u16,
    #[case] code: u16,
    #[case] execution: &str,
    #[values(0, 1)] forwarder: usize,
) {
    let (server, cluster) = start(forwarder).await;
    let padding = if code == 309 {
        String::new()
    } else {
        "x".repeat(1_001)
    };
    let request = format!(
        "POST /s/k HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{headers}\r\n{start_of_body}{padding}"
    );

    let answer = call(cluster.caller(), request).await;

    assert_eq!(answer.status, status, "{answer:?}");
    // A chunk that the framing check rejects counts as a broken body.
    assert_eq!(answer.code(), Some(code));
    assert_eq!(answer.execution(), Some(execution));
    assert_eq!(server.ran(), 0);
}

#[tokio::test]
async fn a_header_block_over_the_limit_is_refused() {
    let (server, cluster) = start(0).await;
    let long = format!("x-long: {}\r\n", "x".repeat(2_000));

    let answer = get(cluster.caller(), "/s/k", &long).await;

    assert_eq!(
        (answer.status, answer.code()),
        (431, Some(103)),
        "{answer:?}"
    );
    assert!(server.seen().is_empty());
}

/// Guards against servers that work on for a caller that has disconnected: the work must be
/// cancelled, and its slot must serve the next caller.
#[rstest]
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_work(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|number, _| match number {
        0 => ServerAction::Stall,
        _ => ServerAction::Reply(ok_reply("ok")),
    })
    .await;
    let mut spec = MapSpec::new(&[(server.address, forwarder)]);
    spec.slots = 1;
    spec.connections = 1;
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut caller = RawCaller::connect(cluster.caller()).await;
    caller.send("GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n").await;
    server.wait_seen(1).await;

    drop(caller);
    server.wait_dropped(1).await;
    let answer = get(cluster.caller(), "/s/k", "").await;

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert_eq!(server.most_open(), 1);
    let counters = &cluster.nodes[0].context.counters;
    assert_eq!(counters.callers_disconnected.load(Relaxed), 1);
}

/// Guards against a caller that holds a slot forever by not reading its reply: the slot is
/// freed at the deadline.
#[rstest]
#[tokio::test]
async fn a_caller_that_does_not_read_loses_its_slot(#[values(0, 1)] forwarder: usize) {
    let large = ok_reply(&"x".repeat(32 << 20));
    let server = FakeServer::start(move |number, _| match number {
        0 => ServerAction::Reply(large.clone()),
        _ => ServerAction::Reply(ok_reply("ok")),
    })
    .await;
    let mut spec = MapSpec::new(&[(server.address, forwarder)]);
    spec.slots = 1;
    let mut service = service(RoutingMode::Keyed);
    service.limits.timeout = TimeSpan(1_500);
    let cluster = Cluster::start(2, service, &spec).await;
    let mut caller = RawCaller::connect(cluster.caller()).await;
    caller
        .send("GET /s/k HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
        .await;
    server.wait_seen(1).await;
    server.wait_open(0).await;

    let next = get(cluster.caller(), "/s/k", "x-request-timeout-ms: 20000\r\n").await;
    let slow = caller.finish().await;

    assert_eq!(next.code(), Some(200), "{next:?}");
    assert!(!slow.complete, "the reply must look aborted");
}

/// Hop-by-hop headers must not pass the router in either direction, nor headers that only the
/// router or the server may set.
#[rstest]
#[tokio::test]
async fn headers_of_the_connection_end_at_the_router(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| {
        ServerAction::Reply(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\n\
             keep-alive: 5\r\nx-camphorcove-result: 999\r\nx-server-clock: 7\r\nx-kept: 1\r\n\r\nok"
                .into(),
        )
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Free), &spec).await;
    let headers = "connection: x-mine\r\nx-mine: 1\r\nte: trailers\r\nkeep-alive: 5\r\n\
        upgrade: websocket\r\nproxy-authorization: x\r\nx-camphorcove-token: 9.9\r\n\
        x-server-verdict: not-run\r\nx-kept: 1\r\n";

    let answer = get(cluster.caller(), "/s/k", headers).await;

    let seen = &server.seen()[0];
    for name in [
        "x-mine",
        "te",
        "keep-alive",
        "upgrade",
        "proxy-authorization",
        "connection",
        "x-camphorcove-token",
        "x-server-verdict",
        "x-camphorcove-envelope",
    ] {
        assert_eq!(seen.header(name), None, "{name} in {}", seen.head);
    }
    assert_eq!(seen.header("x-kept").as_deref(), Some("1"));
    for name in ["x-hop", "keep-alive", "x-server-clock"] {
        assert_eq!(answer.header(name), None, "{name} in {answer:?}");
    }
    assert_eq!(answer.header("x-kept"), Some("1"));
    assert_eq!(answer.code(), Some(200));
}

/// A reply to `HEAD` has a length but no body, which HTTP/2 between the hosts would reject.
#[rstest]
#[tokio::test]
async fn head_keeps_the_announced_length(#[values(0, 1)] forwarder: usize) {
    let server = FakeServer::start(|_, _| {
        ServerAction::Reply("HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n".into())
    })
    .await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(RoutingMode::Free), &spec).await;
    let request = "HEAD /s HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

    let answer: Answer = call(cluster.caller(), request).await;

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert_eq!(answer.header("content-length"), Some("1234"));
}
