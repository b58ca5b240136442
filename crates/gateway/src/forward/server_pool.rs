//! Connections to servers.

use {
    crate::state::HostState,
    bytes::Bytes,
    camphorcove_core::{fleet::ServerEntry, ids::ServerId, time::BootTime},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    snafu::Snafu,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for a new connection: many times a round trip between zones and the
/// server's own effort, below the time in which a lost opening packet is sent again.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);

/// Share of a server's idle limit for which a connection is used again; later the
/// request could cross the server's close.
const IDLE_SHARE: f64 = 0.7;

/// Idle limit assumed of a server that does not tell it.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Fewest connections that a host may open to a server.
const LEAST_CONNECTIONS: u32 = 2;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// This host's part of the server's connections is in use.
    #[snafu(display("all connections are in use"))]
    Full,
    /// The server does not take a connection.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// Cause.
        reason: String,
    },
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct PooledConnection {
    /// hyper's side.
    pub sender: Sender,
    /// It has carried a request before.
    pub used: bool,
    key: ConnectionKey,
}

/// Connections of one incarnation are never used for another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    server: ServerId,
    incarnation: u64,
    address: SocketAddr,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    until: BootTime,
}

#[derive(Debug, Default)]
struct ServerConnections {
    idle: Vec<IdleConnection>,
    open: Arc<AtomicU32>,
}

/// Connections of this host, by server.
#[derive(Debug)]
pub struct ServerPool {
    state: Arc<HostState>,
    by_server: Mutex<HashMap<ConnectionKey, ServerConnections>>,
}

/// Counts a connection until its task has ended.
struct OpenCount(Arc<AtomicU32>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerPool {
    /// Empty pool.
    pub fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            by_server: Mutex::default(),
        }
    }

    /// Takes an idle connection or opens a new one; `limit` is the number of connections that
    /// the server accepts from all hosts together.
    pub async fn acquire(
        &self,
        entry: &ServerEntry,
        limit: u32,
    ) -> Result<PooledConnection, PoolError> {
        let key = ConnectionKey {
            server: entry.id.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
        };
        let open = match self.take_idle(&key) {
            Ok(pooled) => return Ok(pooled),
            Err(open) => open,
        };
        let share = (limit / self.state.hosts().max(1)).max(LEAST_CONNECTIONS);
        if open.load(Ordering::Relaxed) >= share {
            return FullSnafu.fail();
        }
        open.fetch_add(1, Ordering::Relaxed);
        let count = OpenCount(open.clone());
        let opened = timeout(CONNECT_LIMIT, connect(entry.address, count)).await;
        let sender = match opened {
            Ok(Ok(sender)) => sender,
            Ok(Err(reason)) => return UnreachableSnafu { reason }.fail(),
            Err(_) => {
                return UnreachableSnafu {
                    reason: "timed out",
                }
                .fail();
            }
        };
        self.state
            .counters
            .connections
            .fetch_add(1, Ordering::Relaxed);
        Ok(PooledConnection {
            sender,
            used: false,
            key,
        })
    }

    /// Whether a request may still be sent to the server.
    pub fn may_use(&self, entry: &ServerEntry) -> bool {
        self.state.is_usable(entry)
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put_back(&self, pooled: PooledConnection, idle_limit: Option<Duration>) {
        if pooled.sender.is_closed() {
            return;
        }
        let now = self.state.now();
        let until = now + idle_limit.unwrap_or(IDLE_DEFAULT).mul_f64(IDLE_SHARE);
        let mut by_server = self.lock();
        let set = by_server.entry(pooled.key).or_default();
        set.idle
            .retain(|idle| idle.until > now && !idle.sender.is_closed());
        set.idle.push(IdleConnection {
            sender: pooled.sender,
            until,
        });
    }

    /// Closes all idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        let mut by_server = self.lock();
        for (key, set) in by_server.iter_mut() {
            if key.server == *server {
                set.idle.clear();
            }
        }
        by_server.retain(|key, set| key.server != *server || set.open.load(Ordering::Relaxed) > 0);
    }

    fn take_idle(&self, key: &ConnectionKey) -> Result<PooledConnection, Arc<AtomicU32>> {
        let now = self.state.now();
        let mut by_server = self.lock();
        let set = by_server.entry(key.clone()).or_default();
        set.idle
            .retain(|idle| idle.until > now && !idle.sender.is_closed());
        // The last one used is the least likely to be closed by the server.
        let ready = set.idle.iter().rposition(|idle| idle.sender.is_ready());
        match ready {
            Some(at) => Ok(PooledConnection {
                sender: set.idle.remove(at).sender,
                used: true,
                key: key.clone(),
            }),
            None => Err(set.open.clone()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionKey, ServerConnections>> {
        self.by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr, count: OpenCount) -> Result<Sender, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        let _count = count;
        if let Err(error) = connection.await {
            log::debug!(address:% = address, reason:% = error; "server connection ended");
        }
    });
    Ok(sender)
}
