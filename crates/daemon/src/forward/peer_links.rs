//! HTTP/2 connections to other hosts.

use {
    super::RequestBody,
    crate::context::RequestContext,
    arc_swap::{ArcSwap, ArcSwapOption},
    camphorcove_core::{ids::HostId, outcome::ResultCode},
    http::{Request, Response},
    hyper::{
        body::Incoming,
        client::conn::http2::{self, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::Mutex,
        time::{Instant, timeout, timeout_at},
    },
};

/// Connections to each host; with several, a lost packet does not stall all requests.
const LINKS_PER_HOST: usize = 2;

/// Time limit of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Flow-control window of one stream, in bytes: what a slow caller may leave unread.
const STREAM_WINDOW: u32 = 64 << 10;

/// Flow-control window of a connection, in bytes: room for 256 stalled streams, so that they do
/// not block the others.
const CONNECTION_WINDOW: u32 = 16 << 20;

/// Interval of pings on a connection with requests in flight.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit of the answer to a ping, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest header block of a reply, in bytes.
const MAX_REPLY_HEADER_BYTES: u32 = 64 << 10;

/// HTTP/2 client of one connection.
type PeerSender = SendRequest<RequestBody>;

/// One connection to a host, opened on first use.
#[derive(Debug, Default)]
struct PeerLink {
    sender: ArcSwapOption<PeerSender>,
    /// Held while a connection is opened, so that concurrent requests share it.
    connect_lock: Mutex<()>,
}

/// Connections by host. Reads take no lock.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: ArcSwap<HashMap<HostId, Arc<[PeerLink; LINKS_PER_HOST]>>>,
    /// Held while `links` is replaced.
    update_lock: std::sync::Mutex<()>,
}

impl PeerLinks {
    /// Client of an open connection to a host, which is opened if needed.
    ///
    /// The random number selects one of the host's connections.
    pub async fn sender(
        &self,
        context: &RequestContext,
        host: &HostId,
        random: u64,
        deadline: Instant,
    ) -> Result<PeerSender, ResultCode> {
        let links = self.links_of(host);
        let index = usize::try_from(random).unwrap_or(0) % LINKS_PER_HOST;
        let link = &links[index];
        if let Some(sender) = link.open_sender() {
            return Ok(sender);
        }
        let opening = link.connect(context, host);
        let opened = timeout_at(deadline, opening).await;
        opened.unwrap_or(Err(ResultCode::PeerUnreachable))
    }

    /// Removes the connections of hosts that are gone, so that they do not accumulate as hosts are
    /// replaced.
    pub fn retain(&self, context: &RequestContext) {
        let peers = context.configs.peers();
        let live: HashSet<&HostId> = peers.iter().map(|peer| &peer.host.id).collect();
        if self.links.load().keys().all(|host| live.contains(host)) {
            return;
        }
        let _update_lock = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut map = HashMap::clone(&self.links.load());
        map.retain(|host, _| live.contains(host));
        self.links.store(Arc::new(map));
    }

    /// Connections to a host, which are not opened yet if the host is new.
    fn links_of(&self, host: &HostId) -> Arc<[PeerLink; LINKS_PER_HOST]> {
        if let Some(links) = self.links.load().get(host) {
            return links.clone();
        }
        let _update_lock = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut map = HashMap::clone(&self.links.load());
        let links = map.entry(host.clone()).or_default().clone();
        self.links.store(Arc::new(map));
        links
    }
}

impl PeerLink {
    /// Client of the connection, if it is open.
    fn open_sender(&self) -> Option<PeerSender> {
        let sender = self.sender.load();
        let sender = sender.as_ref()?;
        (!sender.is_closed()).then(|| PeerSender::clone(sender))
    }

    /// Opens the connection, unless another request has opened it meanwhile.
    async fn connect(
        &self,
        context: &RequestContext,
        host: &HostId,
    ) -> Result<PeerSender, ResultCode> {
        let _connect_lock = self.connect_lock.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let peers = context.configs.peers();
        let peer = peers.iter().find(|peer| peer.host.id == *host);
        let address = peer.ok_or(ResultCode::PeerUnreachable)?.peer;
        let sender = open_link(address).await.inspect_err(|error| {
            log::debug!("connecting to peer {host} at {address} failed: {error}");
        });
        let sender = sender.map_err(|_| ResultCode::PeerUnreachable)?;
        self.sender.store(Some(Arc::new(sender.clone())));
        Ok(sender)
    }
}

async fn open_link(address: SocketAddr) -> std::io::Result<PeerSender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(MAX_REPLY_HEADER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("peer connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}

/// Sends a request on a peer connection.
///
/// The HTTP client hands back a request of which it has sent nothing; its result code is
/// [`ResultCode::PeerUnreachable`], which proves that the request did not run.
pub async fn send_to_peer(
    mut sender: PeerSender,
    request: Request<RequestBody>,
    deadline: Instant,
) -> Result<Response<Incoming>, ResultCode> {
    let reply = timeout_at(deadline, sender.try_send_request(request)).await;
    match reply {
        Err(_) => Err(ResultCode::DeadlinePassed),
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(mut error)) => {
            log::debug!("request to peer failed: {}", error.error());
            Err(match error.take_message() {
                Some(_) => ResultCode::PeerUnreachable,
                None => ResultCode::PeerLost,
            })
        }
    }
}
