//! Requests that a caller sends before the one in front of them is answered.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, read_response, request},
        scripted_server::{ScriptedServer, Step, response},
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::fixtures::{TestHost, entry, start_host_with},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time that the server takes for a request.
const WORK_TIME: Duration = Duration::from_millis(300);

/// A server that takes `WORK_TIME` for a request and answers with its id.
async fn slow_server() -> ScriptedServer {
    let mut steps = vec![Step::Wait(WORK_TIME)];
    steps.extend(response("200 OK", true, "Content-Length: 2\r\n", "{id}"));
    ScriptedServer::start(vec![steps]).await
}

async fn start_host(server: &ScriptedServer) -> TestHost {
    start_host_with(vec![entry("s-1", "plain", server.address)]).await
}

/// Sends all requests without waiting for a response.
async fn send(host: &TestHost, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(host.address).await.expect("listens");
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .expect("requests are sent");
    stream
}

/// Reads `count` responses; the last one is followed by nothing else.
async fn read_responses(stream: &mut TcpStream, count: usize) -> Vec<CallerResponse> {
    let mut received = Vec::new();
    let mut responses = Vec::new();
    for _ in 0..count {
        responses.push(read_response(stream, &mut received).await);
    }
    assert!(received.is_empty(), "bytes behind the last response");
    responses
}

fn outcomes(responses: &[CallerResponse]) -> Vec<(u16, &str)> {
    responses
        .iter()
        .map(|response| (response.status, response.body.as_str()))
        .collect()
}

/// Guards against a request that waits for the one in front of it, which may take longer than
/// its own target latency, and against responses in another order than the requests.
#[tokio::test]
async fn idempotent_requests_run_side_by_side_and_are_answered_in_order() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let requests = ["r1", "r2", "r3"].map(|id| request("GET", "/read/a", id, "", ""));
    let started = Instant::now();

    let mut stream = send(&host, &requests).await;
    let responses = read_responses(&mut stream, 3).await;

    assert_eq!(
        outcomes(&responses),
        [(200, "r1"), (200, "r2"), (200, "r3")]
    );
    assert!(started.elapsed() < WORK_TIME * 2, "{:?}", started.elapsed());
}

/// Guards against a request behind one that changes something and that may not see the change.
#[tokio::test]
async fn request_behind_an_unsafe_one_waits_for_it() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let requests = [
        request("POST", "/write/a", "r1", "", "x"),
        request("GET", "/read/a", "r2", "", ""),
        request("GET", "/read/a", "r3", "", ""),
    ];

    let mut stream = send(&host, &requests).await;
    sleep(WORK_TIME / 2).await;
    let running = server.log().requests.len();
    let responses = read_responses(&mut stream, 3).await;

    assert_eq!(running, 1);
    assert_eq!(
        outcomes(&responses),
        [(200, "r1"), (200, "r2"), (200, "r3")]
    );
}

/// Guards against a body that is taken for a pipelined request, and against a request behind a
/// body that is never read.
#[tokio::test]
async fn body_is_not_taken_for_a_request() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let hidden = request("GET", "/read/hidden", "hidden", "", "");
    let requests = [
        request("GET", "/read/a", "r1", "", ""),
        request("POST", "/write/a", "r2", "", &hidden),
        request("GET", "/read/b", "r3", "", ""),
    ];

    let mut stream = send(&host, &requests).await;
    let responses = read_responses(&mut stream, 3).await;

    let heads = server.log().requests;
    assert_eq!(
        outcomes(&responses),
        [(200, "r1"), (200, "r2"), (200, "r3")]
    );
    assert!(
        heads
            .iter()
            .all(|(head, _)| !head.starts_with("get /read/hidden"))
    );
    assert_eq!(heads.len(), 3);
}

/// Guards against requests that go on at servers after their caller has closed the connection.
#[tokio::test]
async fn started_requests_are_cancelled_when_the_caller_disconnects() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let requests = ["r1", "r2", "r3"].map(|id| request("GET", "/read/a", id, "", ""));

    let stream = send(&host, &requests).await;
    sleep(WORK_TIME / 3).await;
    let running = server.log().requests.len();
    drop(stream);
    sleep(WORK_TIME / 3).await;

    assert_eq!((running, server.log().interrupted_responses), (3, 3));
}

/// Guards against a planned stop that closes a connection behind a response although requests
/// behind it run or have been read, and against one that keeps the connection open for more.
#[tokio::test]
async fn stop_answers_the_requests_that_have_been_read() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let requests = ["r1", "r2"].map(|id| request("GET", "/read/a", id, "", ""));
    let later = request("POST", "/write/a", "r3", "", "x");

    let mut stream = send(&host, &requests).await;
    sleep(WORK_TIME / 3).await;
    host.state.begin_stop();
    host.stop.send_replace(true);
    stream.write_all(later.as_bytes()).await.expect("sent");
    let responses = read_responses(&mut stream, 3).await;
    let mut rest = Vec::new();
    let closed = timeout(WORK_TIME, stream.read_to_end(&mut rest)).await;

    let closing: Vec<bool> = responses
        .iter()
        .map(|response| response.head.contains("connection: close"))
        .collect();
    assert_eq!(
        outcomes(&responses),
        [(200, "r1"), (200, "r2"), (200, "r3")]
    );
    assert_eq!(closing, [false, false, true]);
    assert!(closed.is_ok() && rest.is_empty());
    assert_eq!(server.log().requests.len(), 3);
}

/// Guards against memory that one caller can fill with requests that it sends at once.
#[tokio::test]
async fn number_of_requests_started_early_is_bounded() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let ids: Vec<String> = (10..40).map(|number| number.to_string()).collect();
    let requests: Vec<String> = ids
        .iter()
        .map(|id| request("GET", "/read/a", id, "", ""))
        .collect();

    let mut stream = send(&host, &requests).await;
    sleep(WORK_TIME / 2).await;
    let running = server.log().requests.len();
    let responses = read_responses(&mut stream, ids.len()).await;

    let answered: Vec<&str> = responses
        .iter()
        .filter(|response| response.status == 200)
        .map(|response| response.body.as_str())
        .collect();
    assert!(running <= 9, "{running}");
    assert!(answered.is_sorted() && answered.len() >= running);
}

/// Guards against a planned stop that cuts off a request whose body is still arriving.
#[tokio::test]
async fn stop_answers_a_request_whose_body_is_half_sent() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let text = request("POST", "/write/a", "r1", "", &"x".repeat(10_000));
    let (first, rest) = text.split_at(6_000);
    let mut stream = send(&host, &[first.to_owned()]).await;

    sleep(WORK_TIME / 3).await;
    host.state.begin_stop();
    host.stop.send_replace(true);
    sleep(WORK_TIME / 3).await;
    stream.write_all(rest.as_bytes()).await.expect("sent");
    let responses = read_responses(&mut stream, 1).await;

    assert_eq!(outcomes(&responses), [(200, "r1")]);
}

/// Guards against a connection that is idle when the stop begins and on which a request arrives
/// just then: it is answered, and the connection closes behind it.
#[tokio::test]
async fn request_on_an_idle_connection_is_answered_after_the_stop_has_begun() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let mut stream = send(&host, &[]).await;

    sleep(WORK_TIME / 3).await;
    host.state.begin_stop();
    host.stop.send_replace(true);
    let text = request("GET", "/read/a", "r1", "", "");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let responses = read_responses(&mut stream, 1).await;

    assert_eq!(outcomes(&responses), [(200, "r1")]);
    assert!(responses[0].head.contains("connection: close"));
}

/// Guards against a request that is started while the body in front of it is still being read, and may
/// turn out to be a part of that body: it ran at a server, though its caller had not sent it.
#[rstest]
#[case::trailers_with_line_feeds("0\r\n\n")]
#[case::chunk_size_with_a_line_feed("0\n\n")]
#[case::chunk_without_an_end("1\r\nx\n0\r\n\r\n")]
#[tokio::test]
async fn request_inside_a_chunked_body_does_not_run(#[case] end_of_body: &str) {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let hidden = "GET /read/hidden HTTP/1.1\nHost: boats.example\nX-Request-Id: hidden\n\n";
    let text = format!(
        "GET /read/a HTTP/1.1\r\nHost: boats.example\r\nX-Request-Id: r1\r\n\
         Transfer-Encoding: chunked\r\n\r\n{end_of_body}{hidden}"
    );

    let mut stream = send(&host, &[text]).await;
    let mut received = Vec::new();
    let response = read_response(&mut stream, &mut received).await;
    sleep(WORK_TIME).await;

    assert_eq!(response.status, 400);
    assert_eq!(server.log().requests, []);
}

/// Guards against the same for requests behind a body that is read whole: they run when it is their turn.
#[tokio::test]
async fn request_behind_a_chunked_body_is_answered() {
    let server = slow_server().await;
    let host = start_host(&server).await;
    let chunked = "GET /read/a HTTP/1.1\r\nHost: boats.example\r\nX-Request-Id: r1\r\n\
                   Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n";
    let requests = [
        chunked.to_owned(),
        request("GET", "/read/a", "r2", "", ""),
        request("GET", "/read/a", "r3", "", ""),
    ];

    let mut stream = send(&host, &requests).await;
    let responses = read_responses(&mut stream, 3).await;

    assert_eq!(
        outcomes(&responses),
        [(200, "r1"), (200, "r2"), (200, "r3")]
    );
}
