//! Client for control messages to peers, with one persistent connection per peer.

use {
    super::{
        AuthContext, AuthTag, PeerBody, PeerError, PeerIdentity, PeerKind, PeerTraffic, encode,
        frame, full_body,
        protocol::{self, SENDER_HEADER},
        read_frame,
        traffic::CountedStream,
    },
    camphorcove_core::ids::HostId,
    http::{Request, Uri},
    hyper::client::conn::http2::{self, SendRequest},
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Mutex as AsyncMutex, time::timeout},
};

/// Timeout for opening a connection and its session.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP/2 flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;

/// HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;

/// Sends control messages to peers. Clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    inner: Arc<ClientInner>,
}

#[derive(Debug)]
struct ClientInner {
    identity: PeerIdentity,
    traffic: Arc<PeerTraffic>,
    /// Next message counter or connection id.
    counter: AtomicU64,
    links: Mutex<HashMap<(HostId, SocketAddr), SharedLink>>,
}

/// Connection to one peer, if open. Locked while connecting, so that concurrent calls
/// share one attempt.
type SharedLink = Arc<AsyncMutex<Option<Link>>>;

/// An open connection with its session.
#[derive(Clone, Debug)]
struct Link {
    sender: SendRequest<PeerBody>,
    session: u64,
    /// Distinguishes this connection from one that replaces it.
    id: u64,
}

impl PeerClient {
    /// Creates a client; it connects to a peer on the first call.
    pub fn new(identity: PeerIdentity, traffic: Arc<PeerTraffic>) -> Self {
        let inner = ClientInner {
            identity,
            traffic,
            counter: AtomicU64::new(1),
            links: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sends a control message and waits up to `limit` for the response, connecting
    /// if needed.
    ///
    /// A call that fails or times out also drops its connection, so that the next call
    /// reconnects.
    pub async fn call<M, R>(
        &self,
        host: &HostId,
        address: SocketAddr,
        kind: PeerKind,
        message: &M,
        limit: Duration,
    ) -> Result<R, PeerError>
    where
        M: bincode::Encode,
        R: bincode::Decode<()>,
    {
        let body = encode(message);
        if body.len() + super::TAG_BYTES > super::FRAME_BYTES_MAX {
            return Err(PeerError::TooLarge {
                limit: super::FRAME_BYTES_MAX,
            });
        }
        let link = self.link(host, address).await?;
        let id = link.id;
        let exchange = self.exchange(host, link, kind.as_str(), &body);
        let result = match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::NoResponse {
                reason: format!("no response within {} ms", limit.as_millis()),
            }),
        };
        match result {
            Ok(answer) => frame::decode(&answer),
            Err(error) => {
                self.drop_link(host, address, id).await;
                Err(error)
            }
        }
    }

    async fn exchange(
        &self,
        host: &HostId,
        mut link: Link,
        kind: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, PeerError> {
        let tag = self.sign(host, kind, link.session, body);
        let mut bytes = tag.encode().to_vec();
        bytes.extend_from_slice(body);
        let request = Request::post(peer_uri(host, kind)?)
            .header(SENDER_HEADER, self.inner.identity.host.as_str())
            .body(full_body(bytes))
            .map_err(|error| PeerError::NotSent {
                reason: error.to_string(),
            })?;
        let sent = link.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = error.into_error().to_string();
            match unsent {
                true => PeerError::NotSent { reason },
                false => PeerError::NoResponse { reason },
            }
        })?;
        if !response.status().is_success() {
            return Err(PeerError::Refused {
                status: response.status().as_u16(),
            });
        }
        let answer = read_frame(response.into_body(), super::FRAME_BYTES_MAX).await?;
        self.verify_response(host, kind, tag, &answer)
    }

    /// Verifies that a response was made with the key and belongs to the request with
    /// tag `request_tag`; returns its body.
    fn verify_response(
        &self,
        host: &HostId,
        kind: &str,
        request_tag: AuthTag,
        answer: &[u8],
    ) -> Result<Vec<u8>, PeerError> {
        let (tag, body) = AuthTag::split(answer)?;
        let kind = format!("{kind}.reply");
        let context = AuthContext {
            kind: &kind,
            sender: host,
            receiver: &self.inner.identity.host,
            nonce: request_tag.nonce,
            session: request_tag.session,
            counter: request_tag.counter,
        };
        match self.inner.identity.key.verify(&context, body, &tag.mac) {
            true => Ok(body.to_vec()),
            false => Err(PeerError::AuthenticationFailed {
                what: "MAC of a response does not match",
            }),
        }
    }

    fn sign(&self, host: &HostId, kind: &str, session: u64, body: &[u8]) -> AuthTag {
        let identity = &self.inner.identity;
        let context = AuthContext {
            kind,
            sender: &identity.host,
            receiver: host,
            nonce: identity.nonce,
            session,
            counter: self.inner.counter.fetch_add(1, Ordering::Relaxed),
        };
        identity.key.sign(&context, body)
    }

    async fn link(&self, host: &HostId, address: SocketAddr) -> Result<Link, PeerError> {
        let shared_link = self.shared_link(host, address);
        let mut guard = shared_link.lock().await;
        if let Some(link) = guard.as_ref().filter(|link| !link.sender.is_closed()) {
            return Ok(link.clone());
        }
        *guard = None;
        let opened = timeout(CONNECT_TIMEOUT, self.open_link(host, address)).await;
        let link = opened.unwrap_or_else(|_| {
            Err(PeerError::NotSent {
                reason: "timed out opening the connection".into(),
            })
        })?;
        *guard = Some(link.clone());
        Ok(link)
    }

    /// Connects and opens a session. No part of a control message is sent before that,
    /// so every failure here is `NotSent`.
    async fn open_link(&self, host: &HostId, address: SocketAddr) -> Result<Link, PeerError> {
        let not_sent = |reason: String| PeerError::NotSent { reason };
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.inner.traffic.clone(), Arc::default());
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("peer connection ended: {error}");
            }
        });
        let link = Link {
            sender,
            session: 0,
            id: self.inner.counter.fetch_add(1, Ordering::Relaxed),
        };
        let answer = self
            .exchange(host, link.clone(), protocol::HELLO, &[])
            .await
            .map_err(|error| not_sent(format!("session not opened: {error}")))?;
        let session = frame::decode(&answer).map_err(|error| not_sent(error.to_string()))?;
        Ok(Link { session, ..link })
    }

    fn shared_link(&self, host: &HostId, address: SocketAddr) -> SharedLink {
        let mut links = match self.inner.links.lock() {
            Ok(links) => links,
            Err(poisoned) => poisoned.into_inner(),
        };
        links.entry((host.clone(), address)).or_default().clone()
    }

    /// Drops the connection with this id, unless it has been replaced already.
    async fn drop_link(&self, host: &HostId, address: SocketAddr, id: u64) {
        let shared_link = self.shared_link(host, address);
        let mut guard = shared_link.lock().await;
        if guard.as_ref().is_some_and(|link| link.id == id) {
            *guard = None;
        }
    }

    /// Closes connections to hosts for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&HostId) -> bool) {
        if let Ok(mut links) = self.inner.links.lock() {
            links.retain(|(host, _), _| keep(host));
        }
    }
}

fn peer_uri(host: &HostId, kind: &str) -> Result<Uri, PeerError> {
    Uri::builder()
        .scheme("http")
        .authority(host.as_str())
        .path_and_query(format!("/peer/{kind}"))
        .build()
        .map_err(|error| PeerError::NotSent {
            reason: error.to_string(),
        })
}
