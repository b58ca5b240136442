//! Requests while routing maps change, expire or differ between hosts.

mod support;

use {
    camphorcove_core::{conf::RoutingMode, map::ServerPhase},
    rstest::rstest,
    std::{sync::atomic::Ordering::Relaxed, time::Duration},
    support::{
        Cluster, FakeServer, MapSpec, Node, RawCaller, ServerAction, call, get, ok_reply, service,
    },
};

async fn start_server(text: &'static str) -> FakeServer {
    FakeServer::start(move |_, _| ServerAction::Reply(ok_reply(text))).await
}

/// Waits until a request is waiting for a map on one of the hosts.
async fn wait_until_waiting(nodes: &[Node]) {
    while nodes
        .iter()
        .all(|node| node.context.counters.waiting.load(Relaxed) == 0)
    {
        tokio::task::yield_now().await;
    }
}

/// A planned move must not fail a request: the request waits and goes to the new owner.
#[rstest]
#[tokio::test]
async fn a_request_waits_while_its_shard_moves(
    #[values(0, 1)] old_forwarder: usize,
    #[values(0, 1)] new_forwarder: usize,
) {
    let old = start_server("old").await;
    let new = start_server("new").await;
    let servers = [(old.address, old_forwarder), (new.address, new_forwarder)];
    let mut spec = MapSpec::new(&servers);
    spec.moving = true;
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let caller = cluster.caller();
    let request = tokio::spawn(async move { get(caller, "/s/k", "").await });
    wait_until_waiting(&cluster.nodes).await;
    spec.revision = 2;
    spec.moving = false;
    spec.owner = 1;
    spec.sequence = 2;
    cluster.publish(&spec);
    let answer = request.await.expect("request");

    assert_eq!(answer.body, b"new", "{answer:?}");
    assert_eq!((old.ran(), new.ran()), (0, 1));
    assert_eq!(
        new.seen()[0].header("x-camphorcove-token").as_deref(),
        Some("1.2")
    );
}

/// A host must not route a request by a map or to an owner that may be outdated.
#[rstest]
#[case::moving(|spec: &mut MapSpec| spec.moving = true, 107)]
#[case::expired(|spec: &mut MapSpec| spec.valid_for = Duration::ZERO, 105)]
#[case::owner_lost(|spec: &mut MapSpec| spec.servers[0].2 = ServerPhase::Lost, 106)]
#[case::no_owner(|spec: &mut MapSpec| spec.owner = 9, 106)]
#[tokio::test]
async fn without_a_usable_route_the_request_is_refused_at_its_deadline(
    #[case] break_route: fn(&mut MapSpec),
    #[case] code: u16,
) {
    let server = start_server("ok").await;
    let mut spec = MapSpec::new(&[(server.address, 0)]);
    break_route(&mut spec);
    let cluster = Cluster::start(1, service(RoutingMode::Keyed), &spec).await;

    let answer = get(cluster.caller(), "/s/k", "x-request-timeout-ms: 120\r\n").await;

    assert_eq!(
        (answer.status, answer.code()),
        (503, Some(code)),
        "{answer:?}"
    );
    assert_eq!(answer.execution(), Some("not-run"));
    assert!(server.seen().is_empty());
}

/// An entry host with an old map must not reach the old owner through a forwarder that has the
/// new map.
#[tokio::test]
async fn an_entry_host_with_an_old_map_reaches_only_the_new_owner() {
    let old = start_server("old").await;
    let new = start_server("new").await;
    let mut spec = MapSpec::new(&[(old.address, 1), (new.address, 1)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    spec.revision = 2;
    spec.owner = 1;
    spec.sequence = 2;
    cluster.nodes[1].accept(&spec, true);
    let caller = cluster.caller();

    let request = tokio::spawn(async move { get(caller, "/s/k", "").await });
    wait_until_waiting(&cluster.nodes[..1]).await;
    cluster.nodes[0].accept(&spec, true);
    let answer = request.await.expect("request");

    assert_eq!(answer.body, b"new", "{answer:?}");
    assert_eq!((old.ran(), new.ran()), (0, 1));
    assert_eq!(cluster.nodes[0].context.counters.reroutes.load(Relaxed), 1);
}

/// A forwarder with an older map than the entry host must wait for the newer map instead of
/// refusing the request or sending it to the old owner.
#[tokio::test]
async fn a_forwarder_with_an_old_map_waits_for_the_new_one() {
    let old = start_server("old").await;
    let new = start_server("new").await;
    let mut spec = MapSpec::new(&[(old.address, 1), (new.address, 1)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    spec.revision = 2;
    spec.owner = 1;
    spec.sequence = 2;
    cluster.nodes[0].accept(&spec, true);
    let caller = cluster.caller();

    let request = tokio::spawn(async move { get(caller, "/s/k", "").await });
    wait_until_waiting(&cluster.nodes[1..]).await;
    cluster.nodes[1].accept(&spec, true);
    let answer = request.await.expect("request");

    assert_eq!(answer.body, b"new", "{answer:?}");
    assert_eq!((old.ran(), new.ran()), (0, 1));
}

/// A request that is queued for the old owner while the shard moves must not run there.
#[rstest]
#[tokio::test]
async fn a_queued_request_follows_its_shard(#[values(0, 1)] forwarder: usize) {
    let old = FakeServer::start(|_, _| ServerAction::Stall).await;
    let new = start_server("new").await;
    let mut spec = MapSpec::new(&[(old.address, forwarder), (new.address, forwarder)]);
    spec.slots = 1;
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let mut first = RawCaller::connect(cluster.caller()).await;
    first.send("GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n").await;
    old.wait_seen(1).await;
    let caller = cluster.caller();
    let queued = tokio::spawn(async move { get(caller, "/s/k", "").await });
    let forward = &cluster.nodes[forwarder].forward;
    while forward
        .server_loads()
        .iter()
        .all(|(_, _, load)| load.queued == 0)
    {
        tokio::task::yield_now().await;
    }

    spec.revision = 2;
    spec.owner = 1;
    spec.sequence = 2;
    cluster.publish(&spec);
    drop(first);
    let answer = queued.await.expect("request");

    assert_eq!(answer.body, b"new", "{answer:?}");
    assert_eq!((old.seen().len(), new.ran()), (1, 1));
}

/// A draining server gets no new requests of a free service, which may use any server.
#[tokio::test]
async fn a_draining_server_gets_no_free_requests() {
    let draining = start_server("draining").await;
    let ready = start_server("ready").await;
    let mut spec = MapSpec::new(&[(draining.address, 0), (ready.address, 0)]);
    spec.servers[0].2 = ServerPhase::Draining;
    let cluster = Cluster::start(1, service(RoutingMode::Free), &spec).await;

    for _ in 0..20 {
        assert_eq!(get(cluster.caller(), "/s", "").await.body, b"ready");
    }

    assert_eq!(draining.seen().len(), 0);
}

/// The limits on slots and connections hold over all hosts, whichever hosts the callers use.
#[rstest]
#[case::equal_limits(2, 2)]
#[case::fewer_connections(4, 2)]
#[tokio::test]
async fn slots_and_connections_hold_across_entry_hosts(
    #[case] slots: u32,
    #[case] connections: u32,
) {
    let server = start_server("ok").await;
    let mut spec = MapSpec::new(&[(server.address, 1)]);
    spec.slots = slots;
    spec.connections = connections;
    let mut service = service(RoutingMode::Keyed);
    service.limits.queue = 1_000;
    let cluster = Cluster::start(3, service, &spec).await;
    let callers: Vec<_> = cluster.nodes.iter().map(|node| node.caller).collect();

    let requests = (0..150).map(|index| {
        let caller = callers[index % callers.len()];
        tokio::spawn(async move { get(caller, "/s/k", "").await })
    });
    let requests: Vec<_> = requests.collect();
    for request in requests {
        let answer = request.await.expect("request");
        assert_eq!(answer.code(), Some(200), "{answer:?}");
    }

    assert!(
        server.most_open() <= 2,
        "{} connections",
        server.most_open()
    );
    assert_eq!(server.ran(), 150);
}

/// Different percent-encodings of one key must not lead to different owners.
#[rstest]
#[case("/s/raft-17", "/s/r%61ft%2d17")]
#[case("/s/k%2Fx", "/s/k%2fx")]
#[tokio::test]
async fn encodings_of_a_key_share_a_shard(#[case] first: &str, #[case] second: &str) {
    let server = start_server("ok").await;
    let spec = MapSpec::new(&[(server.address, 0)]);
    let cluster = Cluster::start(1, service(RoutingMode::Keyed), &spec).await;

    get(cluster.caller(), first, "").await;
    get(cluster.caller(), second, "").await;

    let shards: Vec<_> = server
        .seen()
        .iter()
        .map(|seen| seen.header("x-camphorcove-shard"))
        .collect();
    assert!(shards[0].is_some());
    assert_eq!(shards[0], shards[1]);
}

/// When a forwarder fails, a request that was not sent to it is reported as not run, and one
/// that was sent as possibly run.
#[tokio::test]
async fn a_failed_forwarder_is_reported_by_what_had_been_sent() {
    let server = FakeServer::start(|_, _| ServerAction::Stall).await;
    let spec = MapSpec::new(&[(server.address, 1)]);
    let cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let caller = cluster.caller();
    let request =
        "POST /s/k HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx";

    let during = tokio::spawn(async move { call(caller, request).await });
    server.wait_seen(1).await;
    cluster.nodes[1].close_peer_listener();
    let during = during.await.expect("request");
    let after = call(caller, request).await;

    assert_eq!(
        (during.status, during.code()),
        (502, Some(304)),
        "{during:?}"
    );
    assert_eq!(during.execution(), Some("may-have-run"));
    assert_eq!((after.status, after.code()), (502, Some(114)), "{after:?}");
    assert_eq!(after.execution(), Some("not-run"));
    assert_eq!(server.ran(), 1);
}

/// A planned stop finishes the request in flight and refuses further connections.
#[rstest]
#[tokio::test]
async fn a_stop_finishes_requests_in_flight(#[values(0, 1)] forwarder: usize) {
    let large = ok_reply(&"x".repeat(4 << 20));
    let server = FakeServer::start(move |_, _| ServerAction::Reply(large.clone())).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let mut cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let address = cluster.caller();
    let mut caller = RawCaller::connect(address).await;
    caller.send("GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n").await;
    server.wait_seen(1).await;

    let stopping = cluster.nodes[0].begin_stop();
    let reading = tokio::spawn(caller.finish());
    let answer = reading.await.expect("caller");
    stopping.await.expect("entry server");

    assert!(answer.complete, "{} bytes", answer.body.len());
    assert_eq!(answer.body.len(), 4 << 20);
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

/// A request that arrives on an idle connection when the stop has just begun must be served.
#[rstest]
#[tokio::test]
async fn a_stop_serves_a_request_on_an_open_connection(#[values(0, 1)] forwarder: usize) {
    let server = start_server("ok").await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let mut cluster = Cluster::start(2, service(RoutingMode::Keyed), &spec).await;
    let address = cluster.caller();
    let mut caller = RawCaller::connect(address).await;
    caller.send("GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n").await;
    caller.read_until("\r\n\r\nok").await;

    let stopping = cluster.nodes[0].begin_stop();
    while tokio::net::TcpStream::connect(address).await.is_ok() {}
    caller.send("GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n").await;
    let answer = caller.finish().await;
    stopping.await.expect("entry server");

    assert_eq!(answer.code(), Some(200), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
}
