//! Requests without faults: keyed and unkeyed, with the entry host or another host as forwarder.

mod support;

use {
    camphorcove_core::conf::RoutingMode,
    rstest::rstest,
    support::{Cluster, FakeServer, MapSpec, ServerAction, get, ok_reply, service},
};

#[rstest]
#[case::keyed_here(RoutingMode::Keyed, 0)]
#[case::keyed_hop(RoutingMode::Keyed, 1)]
#[case::free_here(RoutingMode::Free, 0)]
#[case::free_hop(RoutingMode::Free, 1)]
#[tokio::test]
async fn a_request_reaches_the_server_and_its_reply_comes_back(
    #[case] routing: RoutingMode,
    #[case] forwarder: usize,
) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("free rafts"))).await;
    let spec = MapSpec::new(&[(server.address, forwarder)]);
    let cluster = Cluster::start(2, service(routing), &spec).await;

    let answer = get(cluster.caller(), "/s/raft-17?day=5", "").await;

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, b"free rafts");
    assert!(answer.complete);
    assert_eq!(answer.code(), Some(200));
    assert_eq!(answer.execution(), Some("ran"));
    let seen = server.seen();
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0]
            .head
            .starts_with("GET /s/raft-17?day=5 HTTP/1.1\r\n")
    );
    let keyed = routing == RoutingMode::Keyed;
    assert_eq!(seen[0].header("x-camphorcove-token").is_some(), keyed);
    assert_eq!(seen[0].header("host").as_deref(), Some("t"));
}
