//! The operator client: it tries the next host, and says what may have happened.

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

/// What a host does with the one request it receives.
#[derive(Clone)]
enum Host {
    Down,
    Silent,
    Answers(u16, String),
}

fn refusal(code: ApiCode) -> Host {
    let body = serde_json::to_string(&ApiError::new(code, "scripted")).unwrap();
    Host::Answers(code.status(), body)
}

/// Starts a host; the task returns true once it has received a request.
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

/// Guards against a client that gives up, or that repeats what it must not.
#[rstest]
#[case::first_is_down(Host::Down, true)]
#[case::first_does_not_answer(Host::Silent, true)]
#[case::first_has_no_platform(refusal(ApiCode::PlatformUnavailable), true)]
#[case::first_does_not_know_the_outcome(refusal(ApiCode::OutcomeUnknown), true)]
#[case::first_refuses(refusal(ApiCode::VersionMismatch), false)]
#[case::first_rejects_the_key(refusal(ApiCode::UnknownKey), false)]
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

/// Guards against "nothing changed" for a change that may have taken effect.
#[tokio::test]
async fn a_refusal_after_an_unanswered_attempt_is_marked() {
    let (result, _) = call([Host::Silent, refusal(ApiCode::VersionMismatch)]).await;

    assert!(
        matches!(result, Err(ClientError::Refused { repeated: true, .. })),
        "{result:?}"
    );
}

#[rstest]
#[case::nothing_sent(Host::Down, Host::Down, false)]
#[case::maybe_sent(Host::Silent, Host::Down, true)]
#[tokio::test]
async fn without_an_answer_the_error_says_what_may_have_happened(
    #[case] first: Host,
    #[case] second: Host,
    #[case] maybe: bool,
) {
    let (result, _) = call([first, second]).await;

    match result {
        Err(ClientError::Unanswered { .. }) => assert!(maybe),
        Err(ClientError::Unreachable { .. }) => assert!(!maybe),
        other => panic!("{other:?}"),
    }
}

/// Guards against a page that lists other codes than the program has.
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
