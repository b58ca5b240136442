//! Calls to peers over one kept connection each.

use {
    super::{
        AuthScope, AuthTag, PeerBody, PeerError, PeerIdentity, PeerKind, PeerTraffic, encode,
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

/// Longest time to open a connection and its session.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP/2 window of a stream and of a connection, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 8 << 20;

/// Sends messages to peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    inner: Arc<ClientInner>,
}

#[derive(Debug)]
struct ClientInner {
    identity: PeerIdentity,
    traffic: Arc<PeerTraffic>,
    counter: AtomicU64,
    slots: Mutex<HashMap<(HostId, SocketAddr), Slot>>,
}

type Slot = Arc<AsyncMutex<Option<Link>>>;

#[derive(Clone, Debug)]
struct Link {
    sender: SendRequest<PeerBody>,
    session: u64,
    number: u64,
}

impl PeerClient {
    /// Client with no connection yet.
    pub fn new(identity: PeerIdentity, traffic: Arc<PeerTraffic>) -> Self {
        let inner = ClientInner {
            identity,
            traffic,
            counter: AtomicU64::new(1),
            slots: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sends a control message and waits for its answer, connecting if needed.
    ///
    /// A call that times out also drops its connection, so the next call reconnects.
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
        let number = link.number;
        let exchange = self.exchange(host, link, kind.as_str(), &body);
        let result = match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::NoAnswer {
                reason: format!("no answer within {} ms", limit.as_millis()),
            }),
        };
        match result {
            Ok(answer) => frame::decode(&answer),
            Err(error) => {
                self.drop_link(host, address, number).await;
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
        let tag = self.seal(host, kind, link.session, body);
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
                false => PeerError::NoAnswer { reason },
            }
        })?;
        if !response.status().is_success() {
            return Err(PeerError::Refused {
                status: response.status().as_u16(),
            });
        }
        let answer = read_frame(response.into_body(), super::FRAME_BYTES_MAX).await?;
        self.open(host, kind, tag, &answer)
    }

    /// Checks that an answer belongs to the question with tag `asked`.
    fn open(
        &self,
        host: &HostId,
        kind: &str,
        asked: AuthTag,
        answer: &[u8],
    ) -> Result<Vec<u8>, PeerError> {
        let (tag, body) = AuthTag::split(answer)?;
        let kind = format!("{kind}.reply");
        let scope = AuthScope {
            kind: &kind,
            sender: host,
            receiver: &self.inner.identity.host,
            nonce: asked.nonce,
            session: asked.session,
            counter: asked.counter,
        };
        match self.inner.identity.key.verify(&scope, body, &tag.code) {
            true => Ok(body.to_vec()),
            false => Err(PeerError::Unauthentic {
                what: "code of an answer",
            }),
        }
    }

    fn seal(&self, host: &HostId, kind: &str, session: u64, body: &[u8]) -> AuthTag {
        let identity = &self.inner.identity;
        let scope = AuthScope {
            kind,
            sender: &identity.host,
            receiver: host,
            nonce: identity.nonce,
            session,
            counter: self.inner.counter.fetch_add(1, Ordering::Relaxed),
        };
        identity.key.seal(&scope, body)
    }

    async fn link(&self, host: &HostId, address: SocketAddr) -> Result<Link, PeerError> {
        let slot = self.slot(host, address);
        let mut guard = slot.lock().await;
        if let Some(link) = guard.as_ref().filter(|link| !link.sender.is_closed()) {
            return Ok(link.clone());
        }
        *guard = None;
        let opened = timeout(CONNECT_TIMEOUT, self.open_link(host, address)).await;
        let link = opened.unwrap_or_else(|_| {
            Err(PeerError::NotSent {
                reason: "no connection in time".into(),
            })
        })?;
        *guard = Some(link.clone());
        Ok(link)
    }

    /// Connects and opens a session; nothing of a message is sent before it is open.
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
            number: self.inner.counter.fetch_add(1, Ordering::Relaxed),
        };
        let answer = self
            .exchange(host, link.clone(), protocol::HELLO, &[])
            .await
            .map_err(|error| not_sent(format!("session refused: {error}")))?;
        let session = frame::decode(&answer).map_err(|error| not_sent(error.to_string()))?;
        Ok(Link { session, ..link })
    }

    fn slot(&self, host: &HostId, address: SocketAddr) -> Slot {
        let mut slots = match self.inner.slots.lock() {
            Ok(slots) => slots,
            Err(poisoned) => poisoned.into_inner(),
        };
        slots.entry((host.clone(), address)).or_default().clone()
    }

    async fn drop_link(&self, host: &HostId, address: SocketAddr, number: u64) {
        let slot = self.slot(host, address);
        let mut guard = slot.lock().await;
        if guard.as_ref().is_some_and(|link| link.number == number) {
            *guard = None;
        }
    }

    /// Closes connections to hosts for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&HostId) -> bool) {
        if let Ok(mut slots) = self.inner.slots.lock() {
            slots.retain(|(host, _), _| keep(host));
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
