//! Server for control messages and forwarded requests from peers.

use {
    super::{
        AuthContext, AuthTag, PeerBody, PeerError, PeerIdentity, PeerKind, PeerTraffic,
        ReplayWindow, encode, full_body,
        protocol::{self, FORWARD_PATH, SENDER_HEADER},
        read_frame,
        traffic::CountedStream,
    },
    camphorcove_core::ids::HostId,
    http::{HeaderMap, Method, Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http2, service::service_fn},
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::Future,
        pin::pin,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Maximum number of concurrent requests on one peer connection.
const STREAMS_MAX: u32 = 4_096;

/// Maximum size of a header block, in bytes: a caller's headers and the envelope.
const HEADER_BYTES_MAX: u32 = 64 << 10;

/// Maximum length of the message that opens a session, in bytes. A peer must have
/// authenticated itself with it before this host buffers frames of full size.
const HELLO_BYTES_MAX: usize = 1 << 10;

/// HTTP/2 flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;

/// HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles the messages that a [`PeerServer`] receives.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles an authenticated control message and returns the encoded response. An
    /// error is sent to the peer as an HTTP status.
    fn message(
        &self,
        kind: PeerKind,
        from: HostId,
        body: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, PeerError>> + Send;

    /// Serves `POST /peer/forward`. The handler must verify the request's envelope, as
    /// the server does not authenticate it.
    fn forward(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<PeerBody>> + Send;
}

/// Serves the peer port.
#[derive(Debug)]
pub struct PeerServer<H> {
    identity: PeerIdentity,
    handler: H,
    traffic: Arc<PeerTraffic>,
}

/// Authentication state of one connection.
#[derive(Debug)]
struct Session {
    id: u64,
    window: Mutex<ReplayWindow>,
    /// The connection has carried a forwarded request.
    carries_requests: Arc<AtomicBool>,
    /// The peer has proved that it has the key.
    authenticated: AtomicBool,
}

/// A received message whose tag has not been verified yet.
struct UnverifiedMessage<'a> {
    kind: &'a str,
    sender: &'a HostId,
    tag: &'a AuthTag,
    body: &'a [u8],
}

impl<H: PeerHandler> PeerServer<H> {
    /// Creates a server that passes messages to `handler`.
    pub fn new(identity: PeerIdentity, handler: H, traffic: Arc<PeerTraffic>) -> Self {
        Self {
            identity,
            handler,
            traffic,
        }
    }

    /// Accepts connections until `stop` becomes true. Requests in progress still finish.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let server = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(server.clone().connection(stream, stop.clone()));
                }
                Err(error) => {
                    log::warn!("peer listener cannot accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let session = Arc::new(Session {
            id: super::random_nonce(),
            window: Mutex::default(),
            carries_requests: Arc::default(),
            authenticated: AtomicBool::new(false),
        });
        let stream = CountedStream::new(
            stream,
            self.traffic.clone(),
            session.carries_requests.clone(),
        );
        let service = service_fn(move |request| {
            let server = self.clone();
            let session = session.clone();
            async move { Ok::<_, Infallible>(server.handle_request(&session, request).await) }
        });
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .auto_date_header(false)
            .max_concurrent_streams(STREAMS_MAX)
            .max_header_list_size(HEADER_BYTES_MAX)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let stopped = async move { stop.wait_for(|stop| *stop).await.is_ok() };
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = stopped => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::debug!("peer connection ended: {error}");
        }
    }

    async fn handle_request(
        &self,
        session: &Session,
        request: Request<Incoming>,
    ) -> Response<PeerBody> {
        if request.method() == Method::POST && request.uri().path() == FORWARD_PATH {
            session.carries_requests.store(true, Ordering::Relaxed);
            return self.handler.forward(request).await;
        }
        self.respond_to_control(session, request).await
    }

    async fn respond_to_control(
        &self,
        session: &Session,
        request: Request<Incoming>,
    ) -> Response<PeerBody> {
        if request.method() != Method::POST {
            return refusal(StatusCode::METHOD_NOT_ALLOWED);
        }
        let kind = match request.uri().path().strip_prefix("/peer/") {
            Some(kind) => kind.to_owned(),
            None => return refusal(StatusCode::NOT_FOUND),
        };
        let result = self.handle_control(session, &kind, request).await;
        result.unwrap_or_else(|error| {
            log::warn!("peer message of kind {kind} refused: {error}");
            refusal(error_status(&error))
        })
    }

    async fn handle_control(
        &self,
        session: &Session,
        kind: &str,
        request: Request<Incoming>,
    ) -> Result<Response<PeerBody>, PeerError> {
        let sender = parse_sender(request.headers())?;
        let limit = match (kind, session.authenticated.load(Ordering::Acquire)) {
            (protocol::HELLO, _) => HELLO_BYTES_MAX,
            (_, true) => super::FRAME_BYTES_MAX,
            (_, false) => {
                return Err(PeerError::AuthenticationFailed {
                    what: "message before the session was opened",
                });
            }
        };
        let bytes = read_frame(request.into_body(), limit).await?;
        let (tag, body) = AuthTag::split(&bytes)?;
        let expected_session = match kind {
            protocol::HELLO => 0,
            _ => session.id,
        };
        let unverified = UnverifiedMessage {
            kind,
            sender: &sender,
            tag: &tag,
            body,
        };
        self.authenticate(session, expected_session, &unverified)?;
        let answer = match kind {
            protocol::HELLO => {
                session.authenticated.store(true, Ordering::Release);
                encode(&session.id)
            }
            _ => {
                let kind = kind.parse().map_err(|()| PeerError::Malformed {
                    what: "unknown kind of message",
                })?;
                self.handler.message(kind, sender.clone(), body).await?
            }
        };
        Ok(self.signed_response(kind, &sender, &tag, &answer))
    }

    /// Builds the response to the request with tag `request_tag`.
    fn signed_response(
        &self,
        kind: &str,
        receiver: &HostId,
        request_tag: &AuthTag,
        body: &[u8],
    ) -> Response<PeerBody> {
        let kind = format!("{kind}.reply");
        let context = AuthContext {
            kind: &kind,
            sender: &self.identity.host,
            receiver,
            nonce: request_tag.nonce,
            session: request_tag.session,
            counter: request_tag.counter,
        };
        let mut bytes = self.identity.key.sign(&context, body).encode().to_vec();
        bytes.extend_from_slice(body);
        if bytes.len() > super::FRAME_BYTES_MAX {
            log::error!(
                "peer response of {} bytes exceeds the frame limit",
                bytes.len()
            );
            return refusal(StatusCode::INTERNAL_SERVER_ERROR);
        }
        Response::new(full_body(bytes))
    }

    /// Verifies session, MAC and counter of a message; the counter is recorded only if
    /// the other two are valid, so that a forged message cannot use it up.
    fn authenticate(
        &self,
        session: &Session,
        expected_session: u64,
        unverified: &UnverifiedMessage<'_>,
    ) -> Result<(), PeerError> {
        let tag = unverified.tag;
        let context = AuthContext {
            kind: unverified.kind,
            sender: unverified.sender,
            receiver: &self.identity.host,
            nonce: tag.nonce,
            session: tag.session,
            counter: tag.counter,
        };
        if tag.session != expected_session {
            return Err(PeerError::AuthenticationFailed {
                what: "message carries the session of another connection",
            });
        }
        if !self
            .identity
            .key
            .verify(&context, unverified.body, &tag.mac)
        {
            return Err(PeerError::AuthenticationFailed {
                what: "MAC of a message does not match",
            });
        }
        let is_new = match session.window.lock() {
            Ok(mut window) => window.accept(tag.counter),
            Err(_) => false,
        };
        match is_new {
            true => Ok(()),
            false => Err(PeerError::AuthenticationFailed {
                what: "counter was used before or is too old",
            }),
        }
    }
}

fn parse_sender(headers: &HeaderMap) -> Result<HostId, PeerError> {
    let text = headers
        .get(SENDER_HEADER)
        .and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or(PeerError::Malformed {
            what: "header with the sender is missing or invalid",
        })
}

fn error_status(error: &PeerError) -> StatusCode {
    match error {
        PeerError::Malformed { .. } => StatusCode::BAD_REQUEST,
        PeerError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        PeerError::AuthenticationFailed { .. } => StatusCode::UNAUTHORIZED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal(status: StatusCode) -> Response<PeerBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}
