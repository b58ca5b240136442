//! Requests that a host has received, but not begun to answer, when its planned stop begins.

mod support;

use {
    camphorcove_core::conf::RoutingMode,
    rstest::rstest,
    std::{
        io::{Read, Write},
        time::Duration,
    },
    support::{Cluster, FakeServer, MapSpec, RawCaller, ServerAction, ok_reply, service},
    tokio::task::spawn_blocking,
};

/// Number of callers that connect while the host does not run.
const QUEUED_CALLERS: usize = 8;

const REQUEST: &str = "GET /s/k HTTP/1.1\r\nhost: t\r\n\r\n";

async fn start_cluster(server: &FakeServer) -> Cluster {
    let spec = MapSpec::new(&[(server.address, 0)]);
    Cluster::start(1, service(RoutingMode::Keyed), &spec).await
}

/// Guards against requests that get no answer although the host has read them: the answer in front
/// of them closed the connection, during the grace for open connections or behind it.
#[rstest]
#[case::within_the_grace(300)]
#[case::behind_the_grace(2_500)]
#[tokio::test]
async fn a_stop_answers_requests_behind_a_running_one(#[case] work_ms: u64) {
    let server = FakeServer::start(move |number, _| match number {
        0 => ServerAction::ReplyAfter(Duration::from_millis(work_ms), ok_reply("first")),
        _ => ServerAction::Reply(ok_reply("other")),
    })
    .await;
    let mut cluster = start_cluster(&server).await;
    let mut caller = RawCaller::connect(cluster.caller()).await;
    caller.send(REQUEST.repeat(3)).await;
    server.wait_seen(1).await;

    let stopping = cluster.nodes[0].begin_stop();
    let received = caller.read_all().await;
    stopping.await.expect("entry server");

    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 3, "{received}");
    assert_eq!(received.matches("connection: close").count(), 1);
    assert_eq!(server.ran(), 3);
}

/// Guards against callers whose connections are reset because they wait in the accept queue when
/// the listener closes.
#[tokio::test]
async fn a_stop_serves_the_accept_queue() {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("ok"))).await;
    let mut cluster = start_cluster(&server).await;
    let address = cluster.caller();
    let mut callers = Vec::new();
    for _ in 0..QUEUED_CALLERS {
        callers.push(spawn_blocking(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("listens");
            stream.write_all(REQUEST.as_bytes()).expect("sent");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).map(|_| answer)
        }));
    }

    // The host runs on this thread, so it has accepted none of them when the stop begins.
    std::thread::sleep(Duration::from_millis(200));
    let stopping = cluster.nodes[0].begin_stop();

    for caller in callers {
        let answer = caller.await.expect("no panic").expect("no reset");
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer:?}");
    }
    stopping.await.expect("entry server");
}
