//! What callers are told when a host without servers hands their requests to other hosts, and these
//! answer, refuse, break off or say nothing.

mod support;

use {
    camphorcove_core::{dispatch::ReachCheck, ids::ServerId},
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, request},
        scripted_server::{
            DEADLINE, ScriptedServer, Step, complete_response, misdirected_response, response,
        },
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::fixtures::{TIME_LIMIT, TestHost, entry, owners_with, start_host_with, version},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
};

/// Time within which a request is refused that was not run.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Length of a response that is passed on while it arrives.
const LONG_BODY_BYTES: usize = 300_000;

/// A host that reaches no servers and knows these other hosts.
async fn host_without_servers(others: &[&ScriptedServer]) -> TestHost {
    let servers: Vec<_> = (0..3)
        .map(|number| entry(&format!("s-{number}"), "plain", ([127, 0, 0, 1], 1).into()))
        .collect();
    let host = start_host_with(servers.clone()).await;
    host.state.set_owners(owners_with(&servers[0]), version(1));
    let others: Vec<_> = others.iter().map(|other| other.address).collect();
    host.state.set_relay_peers(&others, &[]);
    for number in 0..3 {
        let id: ServerId = format!("s-{number}").parse().expect("valid id");
        host.state.record_unreachable_server(&id);
    }
    let lost = ReachCheck {
        tried: 3,
        accepted: 0,
    };
    host.state.record_reach_check(lost);
    host
}

async fn other_host(script: Vec<Step>) -> ScriptedServer {
    ScriptedServer::start(vec![script]).await
}

async fn send(host: &TestHost, method: &str) -> CallerResponse {
    let path = match method {
        "GET" => "/read/a",
        _ => "/write/a",
    };
    call(host.address, &request(method, path, "r-1", "", "")).await
}

fn refused(lines: &str) -> Vec<Step> {
    let lines = format!("{lines}Content-Length: 0\r\n");
    response("503 Busy", false, &lines, "")
}

/// A success that ends before its body is complete.
fn broken_off() -> Vec<Step> {
    let mut steps = response("200 OK", true, "Content-Length: 100\r\n", "part");
    steps.push(Step::Close);
    steps
}

/// Guards against "not run" for a request that another host may have sent to a server, and against
/// answers of other requests or of no server that pass for successes.
#[rstest]
#[case::answered(complete_response("fine"), 200)]
#[case::server_failed(response("500 No", true, "Content-Length: 0\r\n", ""), 500)]
#[case::refused(refused(""), 503)]
#[case::may_have_run(response("502 Lost", false, "Content-Length: 0\r\n", ""), 502)]
#[case::timed_out(response("504 Late", false, "Content-Length: 0\r\n", ""), 504)]
#[case::closed_without_answer(vec![Step::Close], 502)]
#[case::reset_without_answer(vec![Step::Reset], 502)]
#[case::broken_off(broken_off(), 502)]
#[case::of_another_request(misdirected_response(), 502)]
#[case::of_no_server(response("200 OK", false, "Content-Length: 2\r\n", "no"), 502)]
#[tokio::test]
async fn caller_of_an_unsafe_request_is_told_what_is_true(
    #[case] script: Vec<Step>,
    #[case] status: u16,
) {
    let first = other_host(script.clone()).await;
    let second = other_host(script).await;
    let host = host_without_servers(&[&first, &second]).await;

    let told = send(&host, "POST").await;

    let sent = first.log().requests.len() + second.log().requests.len();
    assert_eq!((told.status, sent), (status, 1), "{told:?}");
}

/// Guards against a request that may run only once and goes to a second host.
#[tokio::test]
async fn unsafe_request_that_gets_no_answer_ends_at_its_time_limit_without_another_host() {
    let silent = || vec![Step::Wait(Duration::from_secs(10))];
    let first = other_host(silent()).await;
    let second = other_host(silent()).await;
    let host = host_without_servers(&[&first, &second]).await;

    let started = Instant::now();
    let told = send(&host, "POST").await;
    let took = started.elapsed();

    let sent = first.log().requests.len() + second.log().requests.len();
    assert_eq!((told.status, sent), (504, 1), "{told:?}");
    assert!(took < TIME_LIMIT + REFUSAL_TIME, "{took:?}");
}

/// Guards against callers that are refused although another host could take their requests.
#[rstest]
#[case::without_servers(refused("Camphorcove-Elsewhere: 1\r\n"))]
#[case::with_other_routes(response("404 None", false, "Content-Length: 0\r\n", ""))]
#[tokio::test]
async fn request_that_was_not_run_goes_to_the_next_host(
    #[case] script: Vec<Step>,
    #[values("GET", "POST")] method: &str,
) {
    let unable = other_host(script).await;
    let able = other_host(complete_response("fine")).await;
    let host = host_without_servers(&[&unable, &able]).await;

    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(send(&host, method).await.status);
    }

    assert_eq!(statuses, [200; 4]);
}

/// Guards against an idempotent request that waits for a host which says nothing until its time has passed.
#[tokio::test]
async fn idempotent_request_goes_to_the_next_host_when_one_says_nothing() {
    let silent = other_host(vec![Step::Wait(Duration::from_secs(10))]).await;
    let able = other_host(complete_response("fine")).await;
    let host = host_without_servers(&[&silent, &able]).await;

    let told = send(&host, "GET").await;

    assert_eq!(told.status, 200, "{told:?}");
}

/// Guards against a request that is handed over with more time than its caller has left, and against
/// one whose body or headers change on the way.
#[tokio::test]
async fn request_is_handed_over_unchanged_but_for_its_deadline() {
    let other = other_host(complete_response("fine")).await;
    let host = host_without_servers(&[&other]).await;
    let text = request("POST", "/write/a?b=c", "r-1", "X-Own: kept\r\n", "body");

    let told = call(host.address, &text).await;

    let (head, body) = other.log().requests[0].clone();
    let deadline = head.lines().find_map(|line| line.strip_prefix(DEADLINE));
    let deadline: u128 = deadline.expect("one").trim().parse().expect("a number");
    assert_eq!((told.status, body.as_str()), (200, "body"));
    assert!(head.starts_with("post /write/a?b=c http/1.1"), "{head}");
    assert!(head.contains("host: boats.example") && head.contains("x-own: kept"));
    assert!(head.contains("x-request-id: r-1"), "{head}");
    assert!(deadline <= TIME_LIMIT.as_millis(), "{head}");
}

/// Guards against a server that goes on working for a caller that has left, by way of another host.
#[tokio::test]
async fn request_of_a_caller_that_leaves_is_cancelled_at_the_other_host() {
    let other = other_host(vec![Step::Wait(Duration::from_secs(1))]).await;
    let host = host_without_servers(&[&other]).await;
    let text = request("GET", "/read/a", "r-1", "", "");

    let mut caller = TcpStream::connect(host.address)
        .await
        .expect("host listens");
    caller.write_all(text.as_bytes()).await.expect("sent");
    while other.log().requests.is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(400)).await;

    assert_eq!(other.log().interrupted_responses, 1);
}

/// Guards against long responses that are cut, or look complete after they have broken off.
#[rstest]
#[case::complete(LONG_BODY_BYTES, true)]
#[case::broken_off(LONG_BODY_BYTES - 1, false)]
#[tokio::test]
async fn long_response_arrives_whole_or_visibly_incomplete(
    #[case] sent: usize,
    #[case] complete: bool,
) {
    let lines = format!("Content-Length: {LONG_BODY_BYTES}\r\n");
    let mut script = response("200 OK", true, &lines, &"x".repeat(sent));
    script.push(Step::Close);
    let other = other_host(script).await;
    let host = host_without_servers(&[&other]).await;

    let told = send(&host, "GET").await;

    assert_eq!(told.status, 200);
    assert_eq!(told.complete, complete);
}

/// Guards against a host without any way to serve that keeps its callers waiting or stays ready.
#[tokio::test]
async fn host_that_knows_no_other_refuses_at_once_and_is_not_ready() {
    let host = host_without_servers(&[]).await;

    let started = Instant::now();
    let told = send(&host, "POST").await;
    let took = started.elapsed();

    assert_eq!(told.status, 503, "{told:?}");
    assert!(told.head.contains("retry-after"), "{told:?}");
    assert!(took < REFUSAL_TIME, "{took:?}");
    assert!(!host.state.is_ready());
}
