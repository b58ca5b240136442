//! Tests authentication, replay protection, size limits and reconnection of the peer
//! protocol.

use {
    bytes::Bytes,
    camphorcove_core::ids::HostId,
    camphorcove_net::peer::{
        AuthContext, AuthTag, FRAME_BYTES_MAX, MapAnswer, MapPoll, PeerBody, PeerClient, PeerError,
        PeerHandler, PeerIdentity, PeerKey, PeerKind, PeerServer, PeerTraffic, ReplayWindow,
        TAG_BYTES, decode, encode, full_body,
    },
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http2::SendRequest},
    hyper_util::rt::{TokioExecutor, TokioIo},
    proptest::prelude::*,
    rstest::rstest,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the body of each control message and counts the messages.
#[derive(Clone, Default)]
struct Echo {
    handled: Arc<AtomicU64>,
}

impl PeerHandler for Echo {
    async fn message(&self, _: PeerKind, _: HostId, body: &[u8]) -> Result<Vec<u8>, PeerError> {
        self.handled.fetch_add(1, Ordering::SeqCst);
        Ok(body.to_vec())
    }

    async fn forward(&self, _: Request<Incoming>) -> Response<PeerBody> {
        Response::new(full_body("forwarded"))
    }
}

struct TestServer {
    address: SocketAddr,
    echo: Echo,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TestServer {
    async fn start(key: u8) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), key).await
    }

    async fn start_at(address: SocketAddr, key: u8) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let echo = Echo::default();
        let traffic = Arc::<PeerTraffic>::default();
        let server = PeerServer::new(identity("server", key, 1), echo.clone(), traffic);
        let stop = watch::Sender::new(false);
        let task = tokio::spawn(server.serve(listener, stop.subscribe()));
        Self {
            address,
            echo,
            stop,
            task,
        }
    }

    fn handled(&self) -> u64 {
        self.echo.handled.load(Ordering::SeqCst)
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn key(byte: u8) -> PeerKey {
    PeerKey::new(&[byte; 32]).unwrap()
}

fn identity(name: &str, byte: u8, nonce: u64) -> PeerIdentity {
    PeerIdentity {
        host: host(name),
        key: key(byte),
        nonce,
    }
}

fn client(byte: u8) -> PeerClient {
    PeerClient::new(identity("client", byte, 7), Arc::default())
}

async fn echo(client: &PeerClient, server: &TestServer, text: &str) -> Result<String, PeerError> {
    let text = text.to_owned();
    client
        .call(
            &host("server"),
            server.address,
            PeerKind::Status,
            &text,
            TIMEOUT,
        )
        .await
}

/// HTTP/2 connection without the logic of `PeerClient`, for sending invalid messages.
struct RawLink(SendRequest<PeerBody>);

impl RawLink {
    async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let io = TokioIo::new(stream);
        let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), io);
        let (sender, connection) = handshake.await.unwrap();
        tokio::spawn(connection);
        Self(sender)
    }

    async fn post(&mut self, kind: &str, body: impl Into<Bytes>) -> (u16, Bytes) {
        let request = Request::post(format!("http://server/peer/{kind}"))
            .header("x-peer-sender", "client")
            .body(full_body(body));
        let response = self.0.send_request(request.unwrap()).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        (status, body.map(|body| body.to_bytes()).unwrap_or_default())
    }

    async fn hello(&mut self) -> u64 {
        let (status, answer) = self.post("hello", signed_frame("hello", 0, 1, &[])).await;
        assert_eq!(status, 200);
        decode(&answer[TAG_BYTES..]).unwrap()
    }
}

fn signed_frame(kind: &str, session: u64, counter: u64, body: &[u8]) -> Vec<u8> {
    let (sender, receiver) = (host("client"), host("server"));
    let context = AuthContext {
        kind,
        sender: &sender,
        receiver: &receiver,
        nonce: 7,
        session,
        counter,
    };
    let mut frame = key(1).sign(&context, body).encode().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// Guards against concurrent calls that get each other's responses.
#[tokio::test]
async fn overlapping_calls_get_their_own_answers() {
    let server = TestServer::start(1).await;
    let client = client(1);

    let calls = (0..100).map(|number| {
        let (client, server) = (&client, &server);
        async move {
            let text = format!("question {number}");
            assert_eq!(echo(client, server, &text).await.unwrap(), text);
        }
    });
    futures_util::future::join_all(calls).await;

    assert_eq!(server.handled(), 100);
}

/// Guards against handling messages that were signed with another key.
#[tokio::test]
async fn another_key_is_refused_before_anything_is_sent() {
    let server = TestServer::start(1).await;

    let result = echo(&client(2), &server, "text").await;

    assert!(
        matches!(result, Err(PeerError::NotSent { .. })),
        "{result:?}"
    );
    assert_eq!(server.handled(), 0);
}

/// Guards against handling a recorded message a second time.
#[tokio::test]
async fn replay_on_the_same_connection_is_refused() {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;
    let session = link.hello().await;
    let message = signed_frame("status", session, 2, b"body");

    let (first, _) = link.post("status", message.clone()).await;
    let (second, _) = link.post("status", message).await;

    assert_eq!((first, second), (200, 401));
    assert_eq!(server.handled(), 1);
}

/// Guards against handling a message that was recorded on another connection. After a
/// restart, the receiver has no counters that would show the replay.
#[tokio::test]
async fn replay_on_another_connection_is_refused() {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;
    let session = link.hello().await;
    let message = signed_frame("status", session, 2, b"body");
    assert_eq!(link.post("status", message.clone()).await.0, 200);

    let mut other = RawLink::open(server.address).await;
    other.hello().await;
    let (status, _) = other.post("status", message).await;

    assert_eq!(status, 401);
    assert_eq!(server.handled(), 1);
}

/// Guards against a MAC that does not cover body, kind or counter.
#[rstest]
#[case::body("status", 2, b"bodY")]
#[case::kind("poll", 2, b"body")]
#[case::counter("status", 3, b"body")]
#[tokio::test]
async fn changed_message_is_refused(#[case] kind: &str, #[case] counter: u64, #[case] body: &[u8]) {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;
    let session = link.hello().await;
    let (tag, _) = AuthTag::split(&signed_frame("status", session, 2, b"body"))
        .map(|(t, _)| (t, ()))
        .unwrap();
    let mut frame = AuthTag { counter, ..tag }.encode().to_vec();
    frame.extend_from_slice(body);

    let (status, _) = link.post(kind, frame).await;

    assert_eq!(status, 401);
    assert_eq!(server.handled(), 0);
}

/// Guards against reading frames of any size: a frame over the limit is refused, and the
/// connection stays usable.
#[tokio::test]
async fn frame_over_the_limit_is_refused() {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;
    let session = link.hello().await;
    let body = vec![0; FRAME_BYTES_MAX + 1 - TAG_BYTES];

    let (large, _) = link
        .post("status", signed_frame("status", session, 2, &body))
        .await;
    let (small, _) = link
        .post("status", signed_frame("status", session, 3, b"body"))
        .await;

    assert_eq!((large, small), (413, 200));
    assert_eq!(server.handled(), 1);
}

/// Guards against unauthenticated senders that make this host buffer large frames.
#[rstest]
#[case::hello("hello", 413)]
#[case::other("status", 401)]
#[tokio::test]
async fn large_frame_before_the_session_is_refused(#[case] kind: &str, #[case] expected: u16) {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;

    let (status, _) = link.post(kind, vec![0; 1 << 16]).await;

    assert_eq!(status, expected);
    assert_eq!(server.handled(), 0);
}

/// Guards against accepting frames with a truncated or invalid tag.
#[rstest]
#[case::empty("status", 0, 400)]
#[case::short("status", TAG_BYTES - 1, 400)]
#[case::zeros("status", TAG_BYTES, 401)]
#[tokio::test]
async fn malformed_frame_is_refused(
    #[case] kind: &str,
    #[case] bytes: usize,
    #[case] expected: u16,
) {
    let server = TestServer::start(1).await;
    let mut link = RawLink::open(server.address).await;
    link.hello().await;

    let (status, _) = link.post(kind, vec![0; bytes]).await;

    assert_eq!(status, expected);
    assert_eq!(server.handled(), 0);
}

/// Guards against a client that does not reconnect after its peer restarted.
#[tokio::test]
async fn client_reconnects_after_a_restart() {
    let server = TestServer::start(1).await;
    let client = client(1);
    assert!(echo(&client, &server, "before").await.is_ok());
    let address = server.address;
    server.stop.send_replace(true);
    server.task.await.unwrap();

    let server = TestServer::start_at(address, 1).await;
    let mut answer = echo(&client, &server, "after").await;
    for _ in 0..10 {
        if answer.is_ok() {
            break;
        }
        answer = echo(&client, &server, "after").await;
    }

    assert_eq!(answer.unwrap(), "after");
}

/// Guards against talking to the wrong host when an address was reassigned.
#[tokio::test]
async fn another_host_at_the_address_is_refused() {
    let server = TestServer::start(1).await;

    let result: Result<String, PeerError> = client(1)
        .call(
            &host("other"),
            server.address,
            PeerKind::Status,
            &"text".to_owned(),
            TIMEOUT,
        )
        .await;

    assert!(
        matches!(result, Err(PeerError::NotSent { .. })),
        "{result:?}"
    );
}

/// Guards against allocating memory for a length that a frame merely claims.
#[test]
fn length_beyond_the_limit_is_an_error() {
    let huge = encode(&(u64::MAX >> 8));

    assert!(decode::<Vec<u64>>(&huge).is_err());
    assert!(decode::<String>(&huge).is_err());
}

/// Guards against accepting a counter twice and refusing a new one inside the window.
#[test]
fn window_accepts_each_counter_once() {
    let mut window = ReplayWindow::default();

    assert!(window.accept(5));
    assert!(window.accept(3), "recent counters may arrive late");
    assert!(!window.accept(5));
    assert!(window.accept(5_000));
    assert!(!window.accept(5_000 - 1_024), "too old");
    assert!(window.accept(5_000 - 1_023));
    assert!(!window.accept(0));
}

proptest! {
    /// Guards against panics and large allocations on arbitrary input.
    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<MapPoll>(&bytes);
        let _ = decode::<MapAnswer>(&bytes);
        let _ = AuthTag::split(&bytes);
    }

    /// Guards against accepting a counter twice, whatever the order of arrival.
    #[test]
    fn window_never_repeats(counters in proptest::collection::vec(1_u64..3_000, 0..400)) {
        let mut window = ReplayWindow::default();
        let mut seen = HashSet::new();
        for counter in counters {
            if window.accept(counter) {
                prop_assert!(seen.insert(counter));
            }
        }
    }
}
