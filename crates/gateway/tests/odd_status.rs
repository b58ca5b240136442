//! Servers in trouble that answer with a status that HTTP does not have.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, read_response, request},
        scripted_server::{IDLE_LOAD_LINE, NOT_RUN_LINE, SIGNATURE_LINE, ScriptedServer, response},
    },
    rstest::rstest,
    support::fixtures::{entry, start_host_with},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Size of a body that is streamed to the caller, in bytes: more than 128 KiB.
const LONG_BODY: usize = 140_000;

/// Calls a host whose only server answers each request with this status and, if any, header line. Without
/// one, the body is long.
async fn call_server(
    status: &str,
    signed: bool,
    line: Option<&str>,
    method: &str,
) -> CallerResponse {
    let (line, size) = match line {
        Some(line) => (format!("{line}\r\n"), 2),
        None => (String::new(), LONG_BODY),
    };
    let lines = format!("{line}Content-Length: {size}\r\n");
    let script = response(status, signed, &lines, &"x".repeat(size));
    let server = ScriptedServer::start(vec![script]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let text = match method {
        "GET" => request("GET", "/read/a", "r1", "", ""),
        _ => request("POST", "/write/a", "r1", "", "x"),
    };
    let mut stream = TcpStream::connect(host.address).await.expect("listens");
    stream.write_all(text.as_bytes()).await.expect("sent");
    read_response(&mut stream, &mut Vec::new()).await
}

/// Guards against an answer with the status 000, or another one that is none, that reaches the caller as an
/// answer, and against one that counts as "not run".
#[rstest]
#[tokio::test]
async fn answer_without_a_valid_status_is_no_answer(
    #[values(
        "000 OK", "000", "00 OK", "0 OK", "099 OK", "1000 OK", "2OO OK", "-200 OK"
    )]
    status: &str,
    #[values(true, false)] signed: bool,
    #[values(None, Some(IDLE_LOAD_LINE), Some(NOT_RUN_LINE))] line: Option<&str>,
    #[values("GET", "POST")] method: &str,
) {
    let response = call_server(status, signed, line, method).await;

    assert_eq!(response.status, 502);
}

/// Guards against a request that is made twice: a server failed it after its run with a status that promises
/// "not run", without saying so, and the caller sent it again.
#[rstest]
#[tokio::test]
async fn failure_of_a_request_that_has_run_is_no_promise(
    #[values("503 Busy", "429 Too many", "408 Too late")] status: &str,
    #[values(None, Some(IDLE_LOAD_LINE))] line: Option<&str>,
) {
    let response = call_server(status, true, line, "POST").await;

    assert_eq!(response.status, 502);
    assert!(!response.head.contains(SIGNATURE_LINE), "{}", response.head);
}

/// Guards against another status than the server's for a failure that promises nothing.
#[rstest]
#[tokio::test]
async fn other_failures_are_passed_on(
    #[values("500 Failed", "504 Too late", "400 Bad", "409 Conflict")] status: &str,
) {
    let response = call_server(status, true, Some(IDLE_LOAD_LINE), "POST").await;

    assert_eq!(Some(response.status), status[..3].parse().ok());
    assert!(response.head.contains(SIGNATURE_LINE), "{}", response.head);
}
