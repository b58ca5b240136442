//! HTTP/1.1 client that reuses idle connections by address.

use {
    super::{HeadLimit, ServerStream},
    bytes::Bytes,
    http::{HeaderValue, Request, Response, header::HOST},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    snafu::Snafu,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, timeout_at},
    },
};

/// Default maximum of idle connections per address; further ones are closed after use.
const IDLE_LIMIT: usize = 8;

/// Default limit of a response body, in bytes: several times the largest object of the store.
const RESPONSE_LIMIT: usize = 8 << 20;

/// Receive buffer of a connection, in bytes; it limits the size of a response's headers.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Whether an exchange may use a connection that has carried others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// An idle connection is reused if there is one.
    Reused,
    /// A new connection is opened, so that the response cannot be a late one to an earlier request. It is
    /// kept afterwards.
    New,
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct OpenConnection {
    sender: Sender,
    head_limit: HeadLimit,
    /// Whether it has carried a response.
    carried_response: bool,
    /// When its last response was complete, or when it was opened.
    used_at: Instant,
}

impl OpenConnection {
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Response of a server.
#[derive(Debug)]
pub struct ServerReply {
    /// The response, with its whole body.
    pub response: Response<Bytes>,
    /// Whether it is the first one on its connection, so that it belongs to this request.
    pub is_first: bool,
}

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[snafu(display("request not sent: {reason}"))]
    NotSent {
        /// Error of the connection, or the timeout.
        reason: String,
    },
    /// The request may have been sent, but no complete response arrived.
    #[snafu(display("no complete response: {reason}"))]
    NoReply {
        /// Error of the connection, or the timeout.
        reason: String,
    },
}

/// Sends requests over pooled connections, without retries. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<OpenConnection>>>>,
    idle_limit: usize,
    connect_limit: Option<Duration>,
    idle_time_limit: Option<Duration>,
    response_limit: usize,
    abortive_close: bool,
    doubts_later_failures: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_idle_limit(IDLE_LIMIT)
    }
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_limit` idle connections per address.
    pub fn with_idle_limit(idle_limit: usize) -> Self {
        Self {
            idle: Arc::default(),
            idle_limit,
            connect_limit: None,
            idle_time_limit: None,
            response_limit: RESPONSE_LIMIT,
            abortive_close: false,
            doubts_later_failures: false,
        }
    }

    /// Limits the time to open a connection. After a network partition has healed, a new
    /// attempt succeeds sooner than an old one, which waits to retransmit its SYN packet.
    pub fn with_connect_limit(mut self, limit: Duration) -> Self {
        self.connect_limit = Some(limit);
        self
    }

    /// Limits the time after which an idle connection is no longer used. One that has gone silent
    /// meanwhile costs the call its whole timeout, which opening a new one does not.
    pub fn with_idle_time_limit(mut self, limit: Duration) -> Self {
        self.idle_time_limit = Some(limit);
        self
    }

    /// Limits the size of a response body, in bytes; a longer one counts as no response.
    pub fn with_response_limit(mut self, bytes: usize) -> Self {
        self.response_limit = bytes;
        self
    }

    /// Resets connections on close, so that the kernel discards the unsent bytes of a
    /// cancelled request instead of delivering them later.
    pub fn with_abortive_close(mut self) -> Self {
        self.abortive_close = true;
        self
    }

    /// Closes a connection after a response that reports no success, unless it is the first one there: a
    /// server in trouble may write one behind a complete response, and responses that name no
    /// request cannot be told apart.
    pub fn with_doubt_of_later_failures(mut self) -> Self {
        self.doubts_later_failures = true;
        self
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// The connection is closed if the returned future is dropped before it completes.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let connection_use = ConnectionUse::Reused;
        self.exchange_on(address, request, timeout, connection_use)
            .await
            .map(|reply| reply.response)
    }

    /// Like [`exchange`](Self::exchange), on a connection of this kind.
    pub async fn exchange_on(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        connection_use: ConnectionUse,
    ) -> Result<ServerReply, ExchangeError> {
        let deadline = Instant::now() + timeout;
        let mut connection = match connection_use {
            ConnectionUse::Reused => self.connection(address, deadline).await?,
            ConnectionUse::New => self.open_connection(address, deadline).await?,
        };
        // On an overloaded host the deadline may have passed by now. The request is not
        // sent then, as its caller no longer waits for it.
        if Instant::now() >= deadline {
            return not_sent("timed out before sending");
        }
        let request = with_host_header(request, address);
        let receiving = send_and_receive(&mut connection, request, self.response_limit);
        let Ok(reply) = timeout_at(deadline, receiving).await else {
            // What has silenced this connection has most likely silenced the idle ones as well.
            self.close_idle(address);
            return no_reply("timed out");
        };
        let response = reply?;
        let is_first = !connection.carried_response;
        let is_doubted = self.doubts_later_failures && !is_first && !response.status().is_success();
        connection.carried_response = true;
        connection.used_at = Instant::now();
        if !is_doubted {
            self.store_idle(address, connection);
        }
        Ok(ServerReply { response, is_first })
    }

    /// Sends a request and returns the head of the response, whose body is not limited by the client.
    /// The connection goes back with [`finish_response`](Self::finish_response).
    pub async fn begin_exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Response<Incoming>, OpenConnection), ExchangeError> {
        let deadline = Instant::now() + timeout;
        let mut connection = self.connection(address, deadline).await?;
        let request = with_host_header(request, address);
        match timeout_at(deadline, send(&mut connection, request)).await {
            Ok(response) => Ok((response?, connection)),
            Err(_) => {
                self.close_idle(address);
                no_reply("timed out")
            }
        }
    }

    /// Lets a connection be used again after the whole body of its response has been read.
    pub fn finish_response(&self, address: SocketAddr, mut connection: OpenConnection) {
        connection.carried_response = true;
        connection.used_at = Instant::now();
        self.store_idle(address, connection);
    }

    /// Number of open connections to `address` that are idle.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        let idle = self.lock();
        let connections = idle.get(&address).into_iter().flatten();
        connections
            .filter(|connection| !connection.is_closed())
            .count()
    }

    async fn connection(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OpenConnection, ExchangeError> {
        while let Some(mut connection) = self.take_idle(address) {
            let ready = timeout_at(deadline, connection.sender.ready()).await;
            match ready {
                Ok(Ok(())) => return Ok(connection),
                Ok(Err(_)) => continue,
                Err(_) => return not_sent("timed out waiting for a connection"),
            }
        }
        self.open_connection(address, deadline).await
    }

    async fn open_connection(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OpenConnection, ExchangeError> {
        let connect_deadline = self.connect_limit.map(|limit| Instant::now() + limit);
        let deadline =
            connect_deadline.map_or(deadline, |connect_deadline| connect_deadline.min(deadline));
        let (sender, head_limit) = timeout_at(deadline, connect(address, self.abortive_close))
            .await
            .unwrap_or_else(|_| not_sent("timed out connecting"))?;
        Ok(OpenConnection {
            sender,
            head_limit,
            carried_response: false,
            used_at: Instant::now(),
        })
    }

    /// Whether an idle connection may be used for another request.
    fn is_usable(&self, connection: &OpenConnection) -> bool {
        let limit = self.idle_time_limit;
        !connection.is_closed() && limit.is_none_or(|limit| connection.used_at.elapsed() < limit)
    }

    fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if self.is_usable(&connection) {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn store_idle(&self, address: SocketAddr, connection: OpenConnection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| self.is_usable(connection));
        if connections.len() < self.idle_limit {
            connections.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<OpenConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(
    address: SocketAddr,
    abortive_close: bool,
) -> Result<(Sender, HeadLimit), ExchangeError> {
    let stream = TcpStream::connect(address)
        .await
        .or_else(|error| not_sent(error.to_string()))?;
    stream
        .set_nodelay(true)
        .or_else(|error| not_sent(error.to_string()))?;
    if abortive_close {
        stream
            .set_zero_linger()
            .or_else(|error| not_sent(error.to_string()))?;
    }
    let stream = ServerStream::new(stream);
    let head_limit = stream.head_limit();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(RECEIVE_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .or_else(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("HTTP connection to {address} ended with an error: {error}");
        }
    });
    Ok((sender, head_limit))
}

async fn send_and_receive(
    connection: &mut OpenConnection,
    request: Request<Full<Bytes>>,
    response_limit: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    read_body(send(connection, request).await?, response_limit).await
}

async fn send(
    connection: &mut OpenConnection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, ExchangeError> {
    let head = connection.sender.try_send_request(request);
    match connection.head_limit.apply(head).await {
        Ok(response) => Ok(response),
        Err(mut failure) => {
            // hyper returns the request only if it has not started to send it.
            let unsent = failure.take_message().is_some();
            let reason = failure.into_error().to_string();
            match unsent {
                true => not_sent(reason),
                false => no_reply(reason),
            }
        }
    }
}

async fn read_body(
    response: Response<Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit)
        .collect()
        .await
        .or_else(|error| no_reply(error.to_string()))?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

fn with_host_header(
    mut request: Request<Full<Bytes>>,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    if request.headers().contains_key(HOST) {
        return request;
    }
    if let Ok(value) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(HOST, value);
    }
    request
}

fn not_sent<T>(reason: impl Into<String>) -> Result<T, ExchangeError> {
    NotSentSnafu { reason }.fail()
}

fn no_reply<T>(reason: impl Into<String>) -> Result<T, ExchangeError> {
    NoReplySnafu { reason }.fail()
}
