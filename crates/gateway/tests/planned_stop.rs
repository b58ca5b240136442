//! Requests in flight when a stopping host closes its listener and its connections.

mod support;

use {
    camphorcove_gateway::state::HostState,
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, read_response, request},
        scripted_server::{ScriptedServer, Step, complete_response},
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
    support::fixtures::{
        TIME_LIMIT, TestHost, entry, first_listing_span, settings, start_host_with, start_listener,
        table_with_time_limit,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Time for which a stopping host accepts connections, less the time in which the test sends.
const ACCEPT_TIME: Duration = Duration::from_millis(3_100);

/// Time for which the host does not run then, beyond the time in which it accepts.
const PAUSE: Duration = Duration::from_millis(300);

/// Number of hosts: which of two events a host sees first may be random.
const HOSTS: usize = 8;

/// Time limit of the route of a request that outlasts the stop.
const LONG_LIMIT: Duration = Duration::from_secs(15);

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

async fn start_hosts() -> Vec<TestHost> {
    let server = ScriptedServer::start(vec![complete_response("served")]).await;
    let mut hosts = Vec::new();
    for _ in 0..HOSTS {
        hosts.push(start_host_with(vec![entry("s-1", "plain", server.address)]).await);
    }
    hosts
}

/// Connects and sends a request while no host runs, as all of them share the thread of the test.
fn send_blocking(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("the system accepts");
    let text = request("GET", "/read/a", "r-1", "", "");
    stream.write_all(text.as_bytes()).expect("request is sent");
    stream
}

async fn response_on(stream: TcpStream) -> CallerResponse {
    stream.set_nonblocking(true).expect("open socket");
    let mut stream = tokio::net::TcpStream::from_std(stream).expect("open socket");
    read_response(&mut stream, &mut Vec::new()).await
}

/// Guards against a listener that resets connections which the system has accepted for it. In soak
/// seed 9401, a host that got no processor time for 150 ms cut off a request that way.
#[tokio::test]
async fn connections_that_wait_when_the_listener_closes_are_served() {
    let hosts = start_hosts().await;
    for host in &hosts {
        host.stop.send_replace(true);
    }
    sleep(ACCEPT_TIME).await;

    let streams: Vec<TcpStream> = hosts
        .iter()
        .map(|host| send_blocking(host.address))
        .collect();
    thread::sleep(PAUSE);

    for stream in streams {
        let response = timeout(RESPONSE_TIMEOUT, response_on(stream)).await;
        let response = response.expect("an answer or a close");
        assert_eq!((response.status, response.body.as_str()), (200, "served"));
    }
}

/// A host that stops within `stop_limit`, with a server that answers nothing.
async fn start_silent_host(stop_limit: Duration) -> TestHost {
    let server = ScriptedServer::start(vec![vec![Step::Wait(TIME_LIMIT * 10)]]).await;
    let mut settings = settings(([127, 0, 0, 1], 1).into());
    settings.stop_limit = stop_limit;
    let state = Arc::new(HostState::new(settings));
    state.set_table(table_with_time_limit(1, LONG_LIMIT));
    state.replace_fleet(
        vec![entry("s-1", "plain", server.address)],
        first_listing_span(),
    );
    state.set_remote_load(Some(1), &[]);
    start_listener(state).await
}

/// Guards against a stop that closes the connection of a request which it no longer has the time to
/// await, so that its caller does not learn that it may have run. In soak seed 9534, a server's
/// answer was held back until the host had to exit.
#[tokio::test]
async fn requests_that_outlast_the_stop_are_answered() {
    let stop_limit = ACCEPT_TIME + Duration::from_millis(1_000);
    let host = start_silent_host(stop_limit).await;
    let started = Instant::now();
    let text = request("POST", "/write/a", "r1", "", "x");
    let text = text.replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 15000");
    let waiting = tokio::spawn(async move { call(host.address, &text).await });
    sleep(PAUSE).await;
    host.state.begin_stop();
    host.stop.send_replace(true);

    let response = waiting.await.expect("a response");

    assert_eq!(response.status, 504);
    assert!(started.elapsed() < stop_limit + PAUSE);
}
