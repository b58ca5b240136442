//! Listener for peers.

use {
    super::{
        AuthScope, AuthTag, PeerBody, PeerError, PeerIdentity, PeerKind, PeerTraffic, ReplayWindow,
        encode, full_body,
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

/// Requests that one peer may have open on one connection.
const STREAMS_MAX: u32 = 4_096;

/// Largest header block, in bytes: a caller's headers and the envelope.
const HEADER_BYTES_MAX: u32 = 64 << 10;

/// Largest first message, in bytes. Only a peer that has sent it can make this
/// host buffer frames of full size.
const HELLO_BYTES_MAX: usize = 1 << 10;

/// HTTP/2 windows, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 8 << 20;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Acts on authenticated messages.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers a control message; an error is told to the peer as a refusal.
    fn message(
        &self,
        kind: PeerKind,
        from: HostId,
        body: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, PeerError>> + Send;

    /// Serves `POST /peer/forward`; the request carries its own authentication.
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
    forwards: Arc<AtomicBool>,
    /// The peer has shown that it holds the key.
    open: AtomicBool,
}

/// What a message claims about itself before it is checked.
struct Claim<'a> {
    kind: &'a str,
    sender: &'a HostId,
    tag: &'a AuthTag,
    body: &'a [u8],
}

impl<H: PeerHandler> PeerServer<H> {
    /// Server for a handler.
    pub fn new(identity: PeerIdentity, handler: H, traffic: Arc<PeerTraffic>) -> Self {
        Self {
            identity,
            handler,
            traffic,
        }
    }

    /// Accepts connections until `stop` becomes true; open requests still finish.
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
                    log::warn!("peer listener cannot accept: {error}");
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
            forwards: Arc::default(),
            open: AtomicBool::new(false),
        });
        let stream = CountedStream::new(stream, self.traffic.clone(), session.forwards.clone());
        let service = service_fn(move |request| {
            let server = self.clone();
            let session = session.clone();
            async move { Ok::<_, Infallible>(server.answer(&session, request).await) }
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

    async fn answer(&self, session: &Session, request: Request<Incoming>) -> Response<PeerBody> {
        if request.method() == Method::POST && request.uri().path() == FORWARD_PATH {
            session.forwards.store(true, Ordering::Relaxed);
            return self.handler.forward(request).await;
        }
        self.answer_control(session, request).await
    }

    async fn answer_control(
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
        let result = self.control(session, &kind, request).await;
        result.unwrap_or_else(|error| {
            log::warn!("peer message {kind} refused: {error}");
            refusal(status_of(&error))
        })
    }

    async fn control(
        &self,
        session: &Session,
        kind: &str,
        request: Request<Incoming>,
    ) -> Result<Response<PeerBody>, PeerError> {
        let sender = sender_of(request.headers())?;
        let limit = match (kind, session.open.load(Ordering::Acquire)) {
            (protocol::HELLO, _) => HELLO_BYTES_MAX,
            (_, true) => super::FRAME_BYTES_MAX,
            (_, false) => {
                return Err(PeerError::Unauthentic {
                    what: "message before the session is open",
                });
            }
        };
        let bytes = read_frame(request.into_body(), limit).await?;
        let (tag, body) = AuthTag::split(&bytes)?;
        let expected = match kind {
            protocol::HELLO => 0,
            _ => session.id,
        };
        let claim = Claim {
            kind,
            sender: &sender,
            tag: &tag,
            body,
        };
        self.check(session, expected, &claim)?;
        let answer = match kind {
            protocol::HELLO => {
                session.open.store(true, Ordering::Release);
                encode(&session.id)
            }
            _ => {
                let kind = kind.parse().map_err(|()| PeerError::Malformed {
                    what: "unknown kind",
                })?;
                self.handler.message(kind, sender.clone(), body).await?
            }
        };
        Ok(self.sealed(kind, &sender, &tag, &answer))
    }

    fn sealed(
        &self,
        kind: &str,
        receiver: &HostId,
        asked: &AuthTag,
        body: &[u8],
    ) -> Response<PeerBody> {
        let kind = format!("{kind}.reply");
        let scope = AuthScope {
            kind: &kind,
            sender: &self.identity.host,
            receiver,
            nonce: asked.nonce,
            session: asked.session,
            counter: asked.counter,
        };
        let mut bytes = self.identity.key.seal(&scope, body).encode().to_vec();
        bytes.extend_from_slice(body);
        if bytes.len() > super::FRAME_BYTES_MAX {
            log::error!("answer of {} bytes exceeds the frame limit", bytes.len());
            return refusal(StatusCode::INTERNAL_SERVER_ERROR);
        }
        Response::new(full_body(bytes))
    }

    fn check(&self, session: &Session, expected: u64, claim: &Claim<'_>) -> Result<(), PeerError> {
        let tag = claim.tag;
        let scope = AuthScope {
            kind: claim.kind,
            sender: claim.sender,
            receiver: &self.identity.host,
            nonce: tag.nonce,
            session: tag.session,
            counter: tag.counter,
        };
        if tag.session != expected {
            return Err(PeerError::Unauthentic {
                what: "session of another connection",
            });
        }
        if !self.identity.key.verify(&scope, claim.body, &tag.code) {
            return Err(PeerError::Unauthentic {
                what: "code of a message",
            });
        }
        let fresh = match session.window.lock() {
            Ok(mut window) => window.accept(tag.counter),
            Err(_) => false,
        };
        match fresh {
            true => Ok(()),
            false => Err(PeerError::Unauthentic {
                what: "replayed counter",
            }),
        }
    }
}

fn sender_of(headers: &HeaderMap) -> Result<HostId, PeerError> {
    let text = headers
        .get(SENDER_HEADER)
        .and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or(PeerError::Malformed {
            what: "sender missing",
        })
}

fn status_of(error: &PeerError) -> StatusCode {
    match error {
        PeerError::Malformed { .. } => StatusCode::BAD_REQUEST,
        PeerError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        PeerError::Unauthentic { .. } => StatusCode::UNAUTHORIZED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal(status: StatusCode) -> Response<PeerBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}
