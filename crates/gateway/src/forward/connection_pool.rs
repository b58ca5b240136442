//! Pool of connections to backend servers.

use {
    super::{refusal_history::RefusalHistory, server_call::CallTarget},
    crate::state::HostState,
    bytes::Bytes,
    camphorcove_core::{
        dispatch::ConnectionLimit, fleet::ServerEntry, ids::ServerId, time::BootTime,
    },
    camphorcove_net::http::{HeadLimit, ServerStream},
    camphorcove_platform::ResponseHead,
    http::{HeaderValue, StatusCode},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    snafu::Snafu,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for a new connection: many times the round trip between zones plus the
/// server's work, but less than the time after which TCP sends a lost SYN again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Fraction of a server's idle timeout during which an idle connection is reused; later, the
/// server could close it at the moment when a request is sent.
const IDLE_REUSE_FRACTION: f64 = 0.7;

/// Idle timeout assumed for a server that does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Receive buffer of a connection, in bytes; it limits the size of a response's headers.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Time for which a new connection is checked for a reset, in addition to twice the time that it took
/// to open: the reset follows the acceptance after one round trip and the server's own work of some 1 ms,
/// which may wait for a slot.
const RESET_CHECK_MARGIN: Duration = Duration::from_millis(5);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why no connection to a server could be obtained.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// This host's share of the server's connection limit is in use.
    #[snafu(display("all connections are in use"))]
    Full,
    /// The server has reset the connection, as it has too many.
    #[snafu(display("connection reset before use: {reason}"))]
    Rejected {
        /// How the connection ended.
        reason: String,
    },
    /// The server did not accept a connection in time.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// Why the connection was not opened.
        reason: String,
    },
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct PooledConnection {
    /// hyper's handle for sending requests.
    pub sender: Sender,
    /// Limit for what arrives before the head of a response.
    pub head_limit: HeadLimit,
    /// Refusals that it has carried.
    pub refusals: RefusalHistory,
    key: ConnectionKey,
    /// Whether it has carried no response yet.
    is_new: bool,
}

impl PooledConnection {
    /// Whether it has carried no response yet, so that the next one is that to the next request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

/// Identifies the server process, so that a connection to one incarnation of a server is
/// never used for another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    server: ServerId,
    incarnation: u64,
    address: SocketAddr,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    head_limit: HeadLimit,
    refusals: RefusalHistory,
    reusable_until: BootTime,
}

#[derive(Debug, Default)]
struct ServerConnections {
    idle: Vec<IdleConnection>,
    open_count: Arc<AtomicU32>,
    limit: ConnectionLimit,
}

/// Connections of this host to backend servers.
#[derive(Debug)]
pub struct ConnectionPool {
    state: Arc<HostState>,
    by_server: Mutex<HashMap<ConnectionKey, ServerConnections>>,
}

/// Keeps a connection counted as open until its task has ended.
struct OpenConnectionGuard(Arc<AtomicU32>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionPool {
    /// Creates an empty pool; `state` tells how many hosts share each server's limit.
    pub fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            by_server: Mutex::default(),
        }
    }

    /// Takes an idle connection or opens a new one. The connection has carried no refusal of the
    /// request with this id.
    pub async fn acquire(
        &self,
        target: CallTarget<'_>,
        request_id: &HeaderValue,
    ) -> Result<PooledConnection, PoolError> {
        let entry = target.entry;
        let key = ConnectionKey {
            server: entry.id.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
        };
        let (open_count, limit) = match self.take_idle(&key, request_id) {
            Ok(pooled) => return Ok(pooled),
            Err(counted) => counted,
        };
        let started = self.state.now();
        let open = open_count.load(Ordering::Relaxed);
        if !limit.may_open(open, target.max_connections, self.state.hosts(), started) {
            return FullSnafu.fail();
        }
        open_count.fetch_add(1, Ordering::Relaxed);
        let guard = OpenConnectionGuard(open_count.clone());
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.address)).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                self.state.record_unreachable_server(&entry.id);
                let reason = error.to_string();
                if error.kind() == io::ErrorKind::ConnectionReset {
                    self.record_reset(&key);
                    return RejectedSnafu { reason }.fail();
                }
                return UnreachableSnafu { reason }.fail();
            }
            Err(_) => {
                self.state.record_unreachable_server(&entry.id);
                return UnreachableSnafu {
                    reason: "timed out",
                }
                .fail();
            }
        };
        if limit.has_reset(started) {
            let wait = self.state.now().since(started) * 2 + RESET_CHECK_MARGIN;
            if let Some(reason) = find_reset(&stream, wait).await {
                self.record_reset(&key);
                return RejectedSnafu { reason }.fail();
            }
        }
        let (sender, head_limit) = match start_http(stream, entry.address, guard).await {
            Ok(connected) => connected,
            Err(reason) => {
                self.state.record_unreachable_server(&entry.id);
                return UnreachableSnafu { reason }.fail();
            }
        };
        self.state.record_server_connection();
        self.state
            .counters
            .connections
            .fetch_add(1, Ordering::Relaxed);
        Ok(PooledConnection {
            sender,
            head_limit,
            refusals: RefusalHistory::default(),
            key,
            is_new: true,
        })
    }

    /// Whether requests may currently be sent to the server.
    pub fn may_use(&self, entry: &ServerEntry) -> bool {
        self.state.may_send_to(entry)
    }

    /// Records that a server has not answered a request in time.
    pub fn record_silence(&self, entry: &ServerEntry) {
        self.state.record_server_silence(&entry.id);
    }

    /// Records that a server has answered a request.
    pub fn record_answer(&self) {
        self.state.record_server_answer();
    }

    /// Records what the head of a server's answer says about the requests that the server wants.
    pub fn record_hints(&self, entry: &ServerEntry, status: StatusCode, head: &ResponseHead) {
        if head.leaving {
            self.state.record_leaving(&entry.id, entry.incarnation);
        }
        // Whether the server has run this request does not matter: it wants no others in both cases.
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause) = head.retry_after
        {
            self.state.record_pause(&entry.id, entry.incarnation, pause);
        }
    }

    /// Returns a connection to the pool after a complete response, or closes it if it has carried
    /// too many refusals.
    pub fn release(&self, pooled: PooledConnection, idle_timeout: Option<Duration>) {
        if pooled.sender.is_closed() || pooled.refusals.is_full() {
            return;
        }
        let now = self.state.now();
        let reusable_until = now
            + idle_timeout
                .unwrap_or(DEFAULT_IDLE_TIMEOUT)
                .mul_f64(IDLE_REUSE_FRACTION);
        let mut by_server = self.lock();
        let server_connections = by_server.entry(pooled.key).or_default();
        server_connections
            .idle
            .retain(|idle| idle.reusable_until > now && !idle.sender.is_closed());
        server_connections.idle.push(IdleConnection {
            sender: pooled.sender,
            head_limit: pooled.head_limit,
            refusals: pooled.refusals,
            reusable_until,
        });
    }

    /// Records that a connection has ended without a response to the request on it. A new one was most
    /// likely above the server's limit.
    pub fn record_lost(&self, pooled: &PooledConnection) {
        if pooled.is_new {
            self.record_reset(&pooled.key);
        }
    }

    fn record_reset(&self, key: &ConnectionKey) {
        let now = self.state.now();
        let mut by_server = self.lock();
        if let Some(server_connections) = by_server.get_mut(key) {
            server_connections.limit.record_reset(now);
        }
    }

    /// Closes all idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        let mut by_server = self.lock();
        for (key, server_connections) in by_server.iter_mut() {
            if key.server == *server {
                server_connections.idle.clear();
            }
        }
        by_server.retain(|key, server_connections| {
            key.server != *server || server_connections.open_count.load(Ordering::Relaxed) > 0
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        let mut by_server = self.lock();
        by_server.retain(|_, server_connections| {
            server_connections.idle.clear();
            server_connections.open_count.load(Ordering::Relaxed) > 0
        });
    }

    /// Takes an idle connection that has carried no refusal of this request; without one, returns
    /// the counter of the server's open connections and what limits them.
    fn take_idle(
        &self,
        key: &ConnectionKey,
        request_id: &HeaderValue,
    ) -> Result<PooledConnection, (Arc<AtomicU32>, ConnectionLimit)> {
        let now = self.state.now();
        let mut by_server = self.lock();
        let server_connections = by_server.entry(key.clone()).or_default();
        server_connections
            .idle
            .retain(|idle| idle.reusable_until > now && !idle.sender.is_closed());
        // The most recently used connection is the least likely to be closed by the server.
        let ready_index = server_connections
            .idle
            .iter()
            .rposition(|idle| idle.sender.is_ready() && !idle.refusals.contains(request_id));
        match ready_index {
            Some(index) => {
                let idle = server_connections.idle.remove(index);
                Ok(PooledConnection {
                    sender: idle.sender,
                    head_limit: idle.head_limit,
                    refusals: idle.refusals,
                    key: key.clone(),
                    is_new: false,
                })
            }
            None => Err((
                server_connections.open_count.clone(),
                server_connections.limit,
            )),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionKey, ServerConnections>> {
        self.by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// How the server ended a connection within `wait`; `None` if it has kept it. A server sends nothing
/// before the first request.
async fn find_reset(stream: &TcpStream, wait: Duration) -> Option<String> {
    let mut byte = [0; 1];
    match timeout(wait, stream.peek(&mut byte)).await {
        Ok(Ok(0)) => Some("closed".into()),
        Ok(Err(error)) => Some(error.to_string()),
        Ok(Ok(_)) | Err(_) => None,
    }
}

async fn start_http(
    stream: TcpStream,
    address: SocketAddr,
    guard: OpenConnectionGuard,
) -> Result<(Sender, HeadLimit), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let stream = ServerStream::new(stream);
    let head_limit = stream.head_limit();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(RECEIVE_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        let _guard = guard;
        if let Err(error) = connection.await {
            log::debug!(address:% = address, reason:% = error; "server connection ended");
        }
    });
    Ok((sender, head_limit))
}
