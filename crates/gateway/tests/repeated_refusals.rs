//! Servers that write an earlier refusal once more on a connection that is in use again.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{call, request},
        scripted_server::{
            ScriptedServer, Step, complete_response, not_run, refusal, repeated_later,
        },
    },
    rstest::rstest,
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    support::fixtures::{TestHost, entry, start_host_with},
    tokio::time::sleep,
};

/// Time that the server takes to run a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// Number of refusals that a test sends over the same connection.
const MANY_REFUSALS: usize = 20;

fn slow_response() -> Vec<Step> {
    let mut steps = vec![Step::Wait(WORK_TIME)];
    steps.extend(complete_response("fine"));
    steps
}

/// A refusal after which the server closes the connection.
fn closing_refusal() -> Vec<Step> {
    let mut steps = refusal("503 Busy", "X-Request-Id: {id}\r\nConnection: close\r\n");
    steps.push(Step::Close);
    steps
}

async fn start_host(server: &ScriptedServer) -> TestHost {
    start_host_with(vec![entry("s-1", "plain", server.address)]).await
}

/// Number of requests with this id that the server received.
fn arrivals(server: &ScriptedServer, id: &str) -> usize {
    let line = format!("x-request-id: {id}\r\n");
    let log = server.log();
    let has_id = |(head, _): &&(String, String)| head.contains(&line);
    log.requests.iter().filter(has_id).count()
}

/// Guards against a request that ran twice, or that ran although its caller was told "not run":
/// the host took a copy of an earlier refusal for the answer to the request behind it.
#[rstest]
#[tokio::test]
async fn copy_of_an_earlier_refusal_does_not_answer_the_next_request(
    #[values("503 Busy", "429 Too many", "421 Not mine", "408 Too late")] status: &str,
    #[values("", "X-Request-Id: r1\r\n")] copied_id: &str,
    #[values(0, 1, 3, 30)] gap_ms: u64,
) {
    let first = refusal(status, "X-Request-Id: {id}\r\n");
    let copy = refusal(status, copied_id);
    let gap = Duration::from_millis(gap_ms);
    let scripts = vec![
        repeated_later(first, gap, copy),
        closing_refusal(),
        slow_response(),
    ];
    let server = ScriptedServer::start(scripts).await;
    let host = start_host(&server).await;

    let refused = call(host.address, &request("POST", "/write/a", "r1", "", "x")).await;
    let next = call(host.address, &request("POST", "/write/a", "r2", "", "x")).await;
    sleep(WORK_TIME * 2).await;

    assert_eq!(refused.status, 503);
    assert!(
        arrivals(&server, "r2") == 1,
        "ran {}",
        arrivals(&server, "r2")
    );
    assert!(matches!(next.status, 200 | 502), "{}", next.status);
}

/// Guards against "not run" for a request that the server is running: after a retry at the same
/// server, the copy has the id of the request.
#[rstest]
#[tokio::test]
async fn copy_with_the_same_id_does_not_answer_the_retry(
    #[values(("GET", "/read/a"), ("POST", "/write/a"))] (method, path): (&str, &str),
    #[values(1, 30)] gap_ms: u64,
) {
    let gap = Duration::from_millis(gap_ms);
    let scripts = vec![repeated_later(not_run(), gap, not_run()), slow_response()];
    let server = ScriptedServer::start(scripts).await;
    let host = start_host(&server).await;

    let answered = call(host.address, &request(method, path, "r1", "", "")).await;

    assert_eq!((answered.status, answered.body.as_str()), (200, "fine"));
    assert_eq!(server.log().requests.len(), 2);
}

/// Guards against a request that ran twice, or that ran although its caller was told "not run": a refusal
/// without id, which came behind the complete answer to another request, was taken for the answer to it.
#[rstest]
#[tokio::test]
async fn refusal_behind_a_complete_answer_does_not_answer_the_next_request(
    #[values("503 Busy", "429 Too many", "421 Not mine", "408 Too late")] status: &str,
    #[values("/write/a", "/read/a")] path: &str,
    #[values(0, 1, 3, 30)] gap_ms: u64,
) {
    let gap = Duration::from_millis(gap_ms);
    let extra = refusal(status, "");
    let scripts = vec![
        repeated_later(complete_response("fine"), gap, extra),
        slow_response(),
    ];
    let server = ScriptedServer::start(scripts).await;
    let host = start_host(&server).await;

    let first = call(host.address, &request("POST", path, "r1", "", "x")).await;
    let next = call(host.address, &request("POST", path, "r2", "", "x")).await;
    sleep(WORK_TIME * 2).await;

    let runs = arrivals(&server, "r2");
    assert_eq!(first.status, 200);
    assert!(runs == 1 || path == "/read/a", "ran {runs} times");
    assert!(matches!(next.status, 200 | 502), "{}", next.status);
}

/// Guards against a refusal without id on a connection that has carried none before, which is
/// no copy: the caller would not learn that its request has not run.
#[tokio::test]
async fn first_refusal_without_id_is_believed() {
    let server = ScriptedServer::start(vec![refusal("503 Busy", "")]).await;
    let host = start_host(&server).await;

    for number in 0..3 {
        let id = format!("r{number}");
        let refused = call(host.address, &request("POST", "/write/a", &id, "", "x")).await;
        assert_eq!(refused.status, 503);
        assert!(refused.head.contains("retry-after:"), "{}", refused.head);
    }
}

/// Guards against a new connection for each refusal of a full server.
#[tokio::test]
async fn connection_is_kept_after_refusals_with_id() {
    let server = ScriptedServer::start(vec![not_run()]).await;
    let host = start_host(&server).await;
    let started = Instant::now();

    for number in 0..MANY_REFUSALS {
        let id = format!("r{number}");
        let refused = call(host.address, &request("POST", "/write/a", &id, "", "x")).await;
        assert_eq!(refused.status, 503);
    }

    let opened = host.state.counters.connections.load(Ordering::Relaxed);
    assert!(opened <= 2, "{opened} in {:?}", started.elapsed());
    assert!(server.log().requests.len() >= MANY_REFUSALS);
}
