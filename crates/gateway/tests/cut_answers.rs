//! Servers that stop within an answer: at each byte of its head, its body and what frames it.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, read_response, request},
        scripted_server::{SIGNATURE_LINE, ScriptedServer, Step, cut_response},
    },
    rstest::rstest,
    std::{ops::Range, time::Duration},
    support::fixtures::{entry, start_host_with},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Size of a body that is streamed to the caller, in bytes: more than 128 KiB.
const LONG_BODY: usize = 140_000;

/// Size of a buffered body, in bytes.
const SHORT_BODY: usize = 12;

/// Time in which a host passes on what a server has sent.
const PASSING_TIME: Duration = Duration::from_millis(100);

/// Bytes around an edge of a long answer at which it is cut.
const EDGE: usize = 3;

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    Length,
    Chunks,
    Connection,
    /// The same in an answer of the earlier version of the protocol.
    EarlierVersion,
    /// A transfer coding other than `chunked`, so that the body ends with its connection.
    OtherCoding,
}

/// How a caller sends its request.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    Idempotent,
    AtMostOnce,
    Pipelined,
}

fn body(size: usize) -> String {
    "0123456789".repeat(size / 10 + 1)[..size].to_owned()
}

fn answer(framing: BodyFraming, size: usize, interim: &str) -> String {
    let body = body(size);
    let (line, framed) = match framing {
        BodyFraming::Length => (format!("Content-Length: {size}\r\n"), body),
        BodyFraming::Chunks => {
            let (first, second) = body.split_at(size / 2);
            let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
            let framed = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
            ("Transfer-Encoding: chunked\r\n".into(), framed)
        }
        BodyFraming::Connection | BodyFraming::EarlierVersion => (String::new(), body),
        BodyFraming::OtherCoding => ("Transfer-Encoding: gzip\r\n".into(), body),
    };
    let version = match framing {
        BodyFraming::EarlierVersion => "HTTP/1.0",
        _ => "HTTP/1.1",
    };
    format!(
        "{interim}{version} 200 OK\r\nX-Request-Id: r1\r\n{SIGNATURE_LINE}\r\n{line}\r\n{framed}"
    )
}

/// Calls a server that sends the first `sent` bytes of the answer and ends the connection.
async fn call_cut_server(kind: CallKind, answer: &str, sent: usize, end: Step) -> CallerResponse {
    let server = ScriptedServer::start(vec![cut_response(answer, sent, end)]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;
    let read = request("GET", "/read/a", "r1", "", "");
    let text = match kind {
        CallKind::Idempotent => read,
        CallKind::AtMostOnce => request("POST", "/write/a", "r1", "", "x"),
        CallKind::Pipelined => format!("{read}{read}"),
    };
    let mut stream = TcpStream::connect(host.address).await.expect("listens");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    let first = read_response(&mut stream, &mut received).await;
    match kind {
        CallKind::Pipelined if first.complete => read_response(&mut stream, &mut received).await,
        _ => first,
    }
}

/// Asserts that no cut at these positions gives the caller a success that looks complete.
async fn assert_no_cut_success(kind: CallKind, answer: &str, cuts: Range<usize>, end: &Step) {
    for sent in cuts {
        let response = call_cut_server(kind, answer, sent, end.clone()).await;
        assert!(
            response.status != 200 || !response.complete,
            "cut after {sent} bytes, {:?}: 200 with {} bytes",
            &answer[sent.saturating_sub(20)..sent],
            response.body.len()
        );
    }
}

/// Guards against a short or empty body that reaches the caller as a complete success.
#[rstest]
#[tokio::test]
async fn cut_answer_is_no_complete_success(
    #[values(
        BodyFraming::Length,
        BodyFraming::Chunks,
        BodyFraming::Connection,
        BodyFraming::EarlierVersion,
        BodyFraming::OtherCoding
    )]
    framing: BodyFraming,
    #[values(CallKind::Idempotent, CallKind::AtMostOnce, CallKind::Pipelined)] kind: CallKind,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let answer = answer(framing, SHORT_BODY, interim);
    let end_of_cuts = match (framing, &end) {
        // The line break behind the last chunk carries nothing of the body.
        (BodyFraming::Chunks, _) => answer.len() - 2,
        // The regular end of the connection is the end of the body.
        (BodyFraming::Connection | BodyFraming::EarlierVersion, Step::Close) => {
            answer.len() - SHORT_BODY
        }
        _ => answer.len(),
    };

    assert_no_cut_success(kind, &answer, 0..end_of_cuts, &end).await;
}

/// The same for answers that are passed on while they arrive.
#[rstest]
#[tokio::test]
async fn cut_long_answer_is_no_complete_success(
    #[values(
        BodyFraming::Length,
        BodyFraming::Chunks,
        BodyFraming::Connection,
        BodyFraming::EarlierVersion,
        BodyFraming::OtherCoding
    )]
    framing: BodyFraming,
    #[values(CallKind::Idempotent, CallKind::AtMostOnce, CallKind::Pipelined)] kind: CallKind,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let answer = answer(framing, LONG_BODY, "");
    let head = answer.find("\r\n\r\n").expect("a head") + 4;
    let middle = head + (128 << 10);
    let last = answer.len() - 2 * EDGE - 2;
    let edges = match (framing, &end) {
        // The regular end of the connection is the end of the body.
        (BodyFraming::Connection | BodyFraming::EarlierVersion, Step::Close) => {
            vec![head - 2 * EDGE]
        }
        _ => vec![head, head + LONG_BODY / 2, middle, last],
    };

    for edge in edges {
        assert_no_cut_success(kind, &answer, edge - EDGE..edge + 2 * EDGE, &end).await;
    }
}

/// Guards against an answer without a length that is reset while it is passed on, and reaches the caller as
/// complete.
#[rstest]
#[tokio::test]
async fn answer_that_is_reset_while_it_is_passed_on_is_not_complete(
    #[values(BodyFraming::Connection, BodyFraming::EarlierVersion)] framing: BodyFraming,
    #[values(Step::Reset, Step::Close)] end: Step,
) {
    let answer = answer(framing, 2 * LONG_BODY, "");
    let is_cut = matches!(end, Step::Reset);
    let mut script = cut_response(&answer, 3 * LONG_BODY / 2, Step::Wait(PASSING_TIME));
    script.push(end);
    let server = ScriptedServer::start(vec![script]).await;
    let host = start_host_with(vec![entry("s-1", "plain", server.address)]).await;

    let text = request("GET", "/read/a", "r1", "", "");
    let mut stream = TcpStream::connect(host.address).await.expect("listens");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let response = read_response(&mut stream, &mut Vec::new()).await;

    assert_eq!((response.status, response.complete), (200, !is_cut));
}

/// Guards against a success that reaches its caller only in part, or with a body that is still
/// encoded.
#[rstest]
#[case(BodyFraming::Length, true)]
#[case(BodyFraming::Chunks, true)]
#[case(BodyFraming::Connection, true)]
#[case(BodyFraming::EarlierVersion, true)]
#[case(BodyFraming::OtherCoding, false)]
#[tokio::test]
async fn whole_answers_are_passed_on(
    #[case] framing: BodyFraming,
    #[case] passed_on: bool,
    #[values(0, SHORT_BODY, LONG_BODY)] size: usize,
    #[values(CallKind::Idempotent, CallKind::AtMostOnce)] kind: CallKind,
) {
    let answer = match (framing, size) {
        (BodyFraming::Chunks, 0) => answer(framing, 1, ""),
        _ => answer(framing, size, ""),
    };

    let response = call_cut_server(kind, &answer, answer.len(), Step::Close).await;

    match passed_on {
        true => assert_eq!((response.status, response.complete), (200, true)),
        false => assert_eq!(response.status, 502),
    }
    assert!(!passed_on || size < 2 || response.body == body(size));
}

/// Guards against the answer to a request for another protocol, which has no end.
#[tokio::test]
async fn switch_of_protocols_is_not_passed_on() {
    let answer = format!(
        "HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: r1\r\nUpgrade: other\r\n\
         Connection: upgrade\r\n{SIGNATURE_LINE}\r\n\r\n"
    );

    let response = call_cut_server(CallKind::AtMostOnce, &answer, answer.len(), Step::Close).await;

    assert_eq!(response.status, 502);
}
