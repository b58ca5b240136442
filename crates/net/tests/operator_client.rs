//! The operator client tries the hosts in order and reports whether a request may have
//! taken effect.

use {
    camphorcove_net::operator::{
        ApiCode, ApiError, ClientError, OperatorClient, OperatorKey, OperatorRequest,
        OperatorSecret,
    },
    rstest::rstest,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
};

/// How a host reacts to the one request it receives.
#[derive(Clone)]
enum Host {
    Down,
    Silent,
    Answers(u16, String),
}

fn refusing_host(code: ApiCode) -> Host {
    let body = serde_json::to_string(&ApiError::new(code, "scripted")).unwrap();
    Host::Answers(code.status(), body)
}

/// Starts a host. Its task returns true after a request has arrived, and false at once
/// for a host that is down.
async fn start(host: Host) -> (SocketAddr, JoinHandle<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        if matches!(host, Host::Down) {
            return false;
        }
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        if let Host::Answers(status, body) = host {
            let length = body.len();
            let text = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n{body}");
            stream.write_all(text.as_bytes()).await.unwrap();
        }
        true
    });
    (address, task)
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

/// Sends a request through a client that knows two hosts.
async fn call(hosts: [Host; 2]) -> (Result<String, ClientError>, [JoinHandle<bool>; 2]) {
    let [first, second] = hosts;
    let down = matches!(first, Host::Down);
    let (first, first_task) = start(first).await;
    let (second, second_task) = start(second).await;
    if down {
        while !first_task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
    let secret = OperatorSecret::from_hex(&"a".repeat(64)).unwrap();
    let key = OperatorKey {
        id: "anna".into(),
        secret,
    };
    let request = OperatorRequest {
        method: "POST",
        target: "/v1/orders".into(),
        body: Default::default(),
    };
    let result = OperatorClient::new(vec![first, second], key)
        .call(&request)
        .await;
    let result = result.map(|body| String::from_utf8(body.to_vec()).unwrap());
    (result, [first_task, second_task])
}

/// Guards against a client that does not try the next host although it may succeed, or
/// that repeats a request which was refused for a reason that all hosts share.
#[rstest]
#[case::first_is_down(Host::Down, true)]
#[case::first_does_not_answer(Host::Silent, true)]
#[case::first_has_no_platform(refusing_host(ApiCode::PlatformUnavailable), true)]
#[case::first_does_not_know_the_outcome(refusing_host(ApiCode::OutcomeUnknown), true)]
#[case::first_refuses(refusing_host(ApiCode::VersionMismatch), false)]
#[case::first_rejects_the_key(refusing_host(ApiCode::UnknownKey), false)]
#[tokio::test]
async fn the_next_host_is_tried_only_if_that_can_help(#[case] first: Host, #[case] tried: bool) {
    let (result, [_, second]) = call([first, Host::Answers(200, "done".into())]).await;

    assert_eq!(result.is_ok(), tried, "{result:?}");
    if tried {
        assert_eq!(result.unwrap(), "done");
        assert!(second.await.unwrap());
    } else {
        assert!(
            !second.is_finished(),
            "the second host received the request"
        );
        second.abort();
    }
}

/// Guards against a refusal that reads as "nothing changed" although an earlier,
/// unanswered attempt may have taken effect.
#[tokio::test]
async fn a_refusal_after_an_unanswered_attempt_is_marked_as_repeated() {
    let (result, _) = call([Host::Silent, refusing_host(ApiCode::VersionMismatch)]).await;

    assert!(
        matches!(result, Err(ClientError::Refused { repeated: true, .. })),
        "{result:?}"
    );
}

/// Guards against an error that says nothing was sent although a host received the
/// request.
#[rstest]
#[case::nothing_sent(Host::Down, Host::Down, false)]
#[case::maybe_sent(Host::Silent, Host::Down, true)]
#[tokio::test]
async fn without_an_answer_the_error_says_what_may_have_happened(
    #[case] first: Host,
    #[case] second: Host,
    #[case] may_have_run: bool,
) {
    let (result, _) = call([first, second]).await;

    match result {
        Err(ClientError::Unanswered { .. }) => assert!(may_have_run),
        Err(ClientError::Unreachable { .. }) => assert!(!may_have_run),
        other => panic!("{other:?}"),
    }
}

/// Guards against a list of result codes in docs/exit-codes.md that differs from the code.
#[test]
fn the_page_lists_exactly_the_result_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/exit-codes.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| 1"))
        .collect();
    let rows: Vec<&str> = rows
        .into_iter()
        .filter(|line| !line.starts_with("| 1 |"))
        .collect();

    let expected: Vec<String> = ApiCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {} | {} |",
                code.number(),
                code.status(),
                code.meaning()
            )
        })
        .collect();

    assert_eq!(rows, expected);
}
