//! Idempotency keys: a repeat of a request that has run or may have run does not run.

mod support;

use {
    camphorcove_core::conf::{DedupMode, RoutingMode, ServiceConfig},
    camphorcoved::context::RequestTuning,
    rstest::rstest,
    std::time::Duration,
    support::{
        Answer, Cluster, FakeServer, MapSpec, RawCaller, ServerAction, call, ok_reply, service,
    },
};

fn booking(id: &str) -> String {
    format!(
        "POST /s/k HTTP/1.1\r\nhost: t\r\nconnection: close\r\nidempotency-key: {id}\r\n\
         content-length: 4\r\n\r\nbook"
    )
}

fn deduplicated(routing: RoutingMode, dedup: DedupMode) -> ServiceConfig {
    let mut service = service(routing);
    service.dedup = dedup;
    service
}

/// Starts the hosts of a region without earlier requests, with a window longer than any test.
async fn start(service: ServiceConfig, spec: &MapSpec) -> Cluster {
    start_with_window(service, spec, Duration::from_secs(3_600)).await
}

async fn start_with_window(service: ServiceConfig, spec: &MapSpec, window: Duration) -> Cluster {
    let router_dedup = service.dedup == DedupMode::Router;
    let tuning = RequestTuning {
        dedup_window: window,
        dedup_assume_no_history: true,
        ..RequestTuning::default()
    };
    let cluster = Cluster::start_tuned(3, service, spec, tuning).await;
    let name = "s".parse().expect("name");
    // Waits until each host has observed the first map, from which on it covers the window.
    for node in &cluster.nodes {
        while router_dedup && node.forward.home_since(&name).is_none() {
            tokio::task::yield_now().await;
        }
    }
    cluster
}

async fn book(cluster: &Cluster, entry: usize, id: &str) -> Answer {
    call(cluster.nodes[entry].caller, booking(id)).await
}

/// Guards against a repeat that runs because it arrives at another entry host, as it does behind
/// a load balancer.
#[rstest]
#[case::ran(ServerAction::Reply(ok_reply("booked")), 200, 409, 202)]
#[case::may_have_run(ServerAction::ReplyThenClose(String::new()), 301, 409, 307)]
#[tokio::test]
async fn a_repeat_gets_the_stored_outcome(
    #[case] action: ServerAction,
    #[case] first_code: u16,
    #[case] status: u16,
    #[case] code: u16,
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
) {
    let server = FakeServer::start(move |_, _| action.clone()).await;
    let spec = MapSpec::new(&[
        (server.address, 0),
        (server.address, 1),
        (server.address, 2),
    ]);
    let cluster = start(deduplicated(routing, DedupMode::Router), &spec).await;

    let first = book(&cluster, 0, "id-1").await;
    let repeat = book(&cluster, 1, "id-1").await;
    let other = book(&cluster, 2, "id-2").await;

    assert_eq!(first.code(), Some(first_code), "{first:?}");
    assert_eq!(
        (repeat.status, repeat.code()),
        (status, Some(code)),
        "{repeat:?}"
    );
    assert_eq!(other.code(), Some(first_code), "{other:?}");
    assert_eq!(server.ran(), 2);
}

#[rstest]
#[tokio::test]
async fn a_repeat_during_the_first_does_not_run(
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
) {
    let server = FakeServer::start(|_, _| ServerAction::Stall).await;
    let spec = MapSpec::new(&[(server.address, 0), (server.address, 1)]);
    let cluster = start(deduplicated(routing, DedupMode::Router), &spec).await;
    let mut first = RawCaller::connect(cluster.nodes[0].caller).await;
    first.send(booking("id-1")).await;
    server.wait_seen(1).await;

    let repeat = book(&cluster, 1, "id-1").await;
    drop(first);
    server.wait_dropped(1).await;

    assert_eq!(
        (repeat.status, repeat.code()),
        (409, Some(306)),
        "{repeat:?}"
    );
    assert_eq!(server.ran(), 1);
}

/// Guards against a second run when a caller disconnects while its request runs and then repeats
/// it.
#[rstest]
#[tokio::test]
async fn a_repeat_after_the_caller_left_does_not_run(
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
) {
    let server = FakeServer::start(|_, _| ServerAction::Stall).await;
    let spec = MapSpec::new(&[(server.address, 0), (server.address, 1)]);
    let cluster = start(deduplicated(routing, DedupMode::Router), &spec).await;
    let mut first = RawCaller::connect(cluster.nodes[0].caller).await;
    first.send(booking("id-1")).await;
    server.wait_seen(1).await;
    drop(first);
    server.wait_dropped(1).await;

    let repeat = book(&cluster, 1, "id-1").await;

    assert_eq!(
        (repeat.status, repeat.code()),
        (409, Some(307)),
        "{repeat:?}"
    );
    assert_eq!(server.ran(), 1);
}

/// A caller that disconnects before its request has left the router's queue may repeat it.
#[tokio::test]
async fn a_repeat_after_leaving_the_queue_runs() {
    let server = FakeServer::start(|number, _| match number {
        0 => ServerAction::Stall,
        _ => ServerAction::Reply(ok_reply("booked")),
    })
    .await;
    let mut spec = MapSpec::new(&[(server.address, 0)]);
    spec.slots = 1;
    let service = deduplicated(RoutingMode::Keyed, DedupMode::Router);
    let cluster = start(service, &spec).await;
    let mut running = RawCaller::connect(cluster.nodes[0].caller).await;
    running.send(booking("id-1")).await;
    server.wait_seen(1).await;
    let mut queued = RawCaller::connect(cluster.nodes[0].caller).await;
    queued.send(booking("id-2")).await;
    let loads = || cluster.nodes[0].forward.server_loads();
    while loads().iter().all(|(_, _, load)| load.queued == 0) {
        tokio::task::yield_now().await;
    }
    drop(queued);
    while loads().iter().any(|(_, _, load)| load.queued > 0) {
        tokio::task::yield_now().await;
    }
    drop(running);

    let repeat = book(&cluster, 0, "id-2").await;

    assert_eq!(repeat.code(), Some(200), "{repeat:?}");
    assert_eq!(server.ran(), 2);
}

/// A request that certainly did not run may be repeated under the same key.
#[rstest]
#[tokio::test]
async fn a_shed_request_may_come_again(
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
) {
    let server = FakeServer::start(|number, _| match number {
        0..3 => ServerAction::Shed,
        _ => ServerAction::Reply(ok_reply("booked")),
    })
    .await;
    let spec = MapSpec::new(&[(server.address, 0)]);
    let cluster = start(deduplicated(routing, DedupMode::Router), &spec).await;

    let first = book(&cluster, 0, "id-1").await;
    let again = book(&cluster, 1, "id-1").await;

    assert_eq!(first.code(), Some(112), "{first:?}");
    assert_eq!(again.code(), Some(200), "{again:?}");
    assert_eq!(server.ran(), 1);
}

/// Guards against a second run after the home host of a key has changed: the new home host has
/// not seen the whole window, so it refuses keys that it does not know, unless the server
/// deduplicates.
#[rstest]
#[case::router(DedupMode::Router, Some(305), 0)]
#[case::server(DedupMode::Server, Some(200), 1)]
#[tokio::test]
async fn after_a_change_of_home_host_an_unknown_key_is_refused(
    #[case] dedup: DedupMode,
    #[case] code: Option<u16>,
    #[case] ran: usize,
    #[values(RoutingMode::Keyed, RoutingMode::Free)] routing: RoutingMode,
) {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("booked"))).await;
    let mut spec = MapSpec::new(&[(server.address, 0)]);
    let cluster = start(deduplicated(routing, dedup), &spec).await;
    spec.revision = 2;
    spec.servers[0].1 = 1;
    cluster.publish(&spec);

    let answer = book(&cluster, 0, "id-1").await;

    assert_eq!(answer.code(), code, "{answer:?}");
    assert_eq!(server.ran(), ran);
}

/// Control for the tests above: with a window of zero the repeat runs, so it is the window that
/// stops it there.
#[tokio::test]
async fn without_a_window_a_repeat_runs() {
    let server = FakeServer::start(|_, _| ServerAction::Reply(ok_reply("booked"))).await;
    let spec = MapSpec::new(&[(server.address, 0)]);
    let service = deduplicated(RoutingMode::Keyed, DedupMode::Router);
    let cluster = start_with_window(service, &spec, Duration::ZERO).await;

    book(&cluster, 0, "id-1").await;
    book(&cluster, 0, "id-1").await;

    assert_eq!(server.ran(), 2);
}
