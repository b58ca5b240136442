//! Tests `HttpGrants` under network and server faults: whenever an order fails as
//! `NotSent`, the server cannot have received it.

use {
    camphorcove_core::{
        control::{ServerFailure, ServerOrder, ServerResult, ShardGrant},
        ids::{Epoch, FencingToken, ShardId},
    },
    camphorcove_net::servers::{GrantProtocol, HttpGrants, ServerTime, TimestampedReply},
    camphorcove_standin::{
        backend::{BackendSettings, BackendStandin},
        proxy::{ProxySettings, ProxyStandin},
    },
    rstest::rstest,
    std::time::Duration,
};

const TTL: Duration = Duration::from_secs(600);

/// Timeout of orders that the server replies to.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of orders that get no reply; short, as the test waits it out.
const NO_REPLY_TIMEOUT: Duration = Duration::from_millis(200);

async fn backend() -> BackendStandin {
    BackendStandin::with_settings(BackendSettings::default())
        .await
        .unwrap()
}

fn grant() -> ServerOrder {
    let token = FencingToken {
        epoch: Epoch(1),
        sequence: 1,
    };
    let shard = ShardId(3);
    ServerOrder::Grant {
        service: "ledig".parse().unwrap(),
        epoch: Epoch(1),
        set: 1,
        shards: vec![ShardGrant { shard, token }],
        ttl: TTL,
    }
}

fn holds_grant(backend: &BackendStandin) -> bool {
    !backend.intervals("ledig").is_empty()
}

async fn send(grants: &HttpGrants, backend: &BackendStandin) -> TimestampedReply {
    let address = backend.address();
    let sent = grants.send(address, &grant(), None, REPLY_TIMEOUT).await;
    sent.unwrap()
}

// Guards against deadlines computed from another clock than the server's own.
#[tokio::test]
async fn a_reply_carries_the_servers_own_clock() {
    let backend = backend().await;
    let before = backend.clock();

    let reply = send(&HttpGrants::default(), &backend).await;

    assert_eq!(reply.reply.result, ServerResult::Done);
    assert!((before..=backend.clock()).contains(&reply.clock));
    assert!(holds_grant(&backend));
}

#[rstest]
#[case::passed(0, ServerResult::Expired)]
#[case::ahead(60_000_000, ServerResult::Done)]
#[tokio::test]
async fn a_deadline_is_sent_in_the_servers_clock(
    #[case] ahead: u64,
    #[case] expected: ServerResult,
) {
    let backend = backend().await;
    let grants = HttpGrants::default();
    let clock = send(&grants, &backend).await.clock;

    let deadline = Some(ServerTime(clock.0 + ahead));
    let address = backend.address();
    let sent = grants
        .send(address, &grant(), deadline, REPLY_TIMEOUT)
        .await;
    let reply = sent.unwrap();

    assert_eq!(reply.reply.result, expected);
}

#[tokio::test]
async fn orders_share_a_persistent_connection() {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    let grants = HttpGrants::default();

    for _ in 0..3 {
        let sent = grants
            .send(proxy.address(), &grant(), None, REPLY_TIMEOUT)
            .await;
        sent.unwrap();
    }

    assert_eq!(proxy.stats().accepted, 1);
}

#[rstest]
#[case::request_held_back(|faults: &mut ProxySettings| faults.up.blackhole = true, false)]
#[case::reply_held_back(|faults: &mut ProxySettings| faults.down.blackhole = true, true)]
#[case::request_truncated(|faults: &mut ProxySettings| faults.up.truncate_after = Some(40), false)]
#[case::reply_truncated(|faults: &mut ProxySettings| faults.down.truncate_after = Some(40), true)]
#[case::reply_reset(|faults: &mut ProxySettings| faults.down.reset_after = Some(40), true)]
#[tokio::test]
async fn an_order_that_was_sent_and_not_answered_is_no_reply(
    #[case] fault: fn(&mut ProxySettings),
    #[case] carried_out: bool,
) {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    proxy.change(fault);

    let sent = HttpGrants::default()
        .send(proxy.address(), &grant(), None, NO_REPLY_TIMEOUT)
        .await;

    assert_eq!(sent, Err(ServerFailure::NoReply));
    while carried_out && !holds_grant(&backend) {
        tokio::task::yield_now().await;
    }
    assert_eq!(holds_grant(&backend), carried_out);
}

#[tokio::test]
async fn an_order_to_a_closed_port_is_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let sent = HttpGrants::default()
        .send(address, &grant(), None, REPLY_TIMEOUT)
        .await;

    assert_eq!(sent, Err(ServerFailure::NotSent));
}

#[tokio::test]
async fn a_frozen_server_does_not_reply() {
    let backend = backend().await;
    backend.update_settings(|settings| settings.frozen = true);

    let sent = HttpGrants::default()
        .send(backend.address(), &grant(), None, NO_REPLY_TIMEOUT)
        .await;

    assert_eq!(sent, Err(ServerFailure::NoReply));
    assert!(!holds_grant(&backend));
}

// A retry inside the adapter could deliver an order after the grant it belongs to has
// ended.
#[tokio::test]
async fn a_failed_order_is_not_repeated() {
    let backend = backend().await;
    let proxy = ProxyStandin::to(backend.address()).await.unwrap();
    proxy.change(|faults| faults.down.reset_after = Some(1));
    let grants = HttpGrants::default();

    let sent = grants
        .send(proxy.address(), &grant(), None, REPLY_TIMEOUT)
        .await;

    assert_eq!(sent, Err(ServerFailure::NoReply));
    assert_eq!(proxy.stats().accepted, 1);
}

// Guards against an invalid reply being taken for a confirmation of the order.
#[rstest]
#[case::no_clock("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")]
#[case::no_result("HTTP/1.1 200 OK\r\nx-server-clock: 5\r\ncontent-length: 2\r\n\r\n{}")]
#[case::error_status("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")]
#[case::not_http("hello\r\n\r\n")]
#[tokio::test]
async fn an_invalid_reply_counts_as_no_reply(#[case] response: &'static str) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(answer_once(listener, response));

    let sent = HttpGrants::default()
        .send(address, &grant(), None, REPLY_TIMEOUT)
        .await;

    assert_eq!(sent, Err(ServerFailure::NoReply));
    server.abort();
}

/// Sends `response` after the first read and keeps the connection open.
async fn answer_once(listener: tokio::net::TcpListener, response: &'static str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 4_096];
    let _ = stream.read(&mut buffer).await.unwrap();
    stream.write_all(response.as_bytes()).await.unwrap();
    std::future::pending::<()>().await;
}
