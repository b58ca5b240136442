//! HTTP/1.1 connections to backend servers.

use {
    super::{RequestBody, server_handle::ServerMessage},
    camphorcove_net::http::{HeadLimit, ServerStream},
    http::{Request, Response},
    hyper::{
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    snafu::{ResultExt, Snafu},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, sync::mpsc::UnboundedSender, task::AbortHandle, time::timeout},
};

/// Time limit of connecting; servers take about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest header block of a server's reply, in bytes.
const MAX_REPLY_HEADER_BYTES: usize = 64 << 10;

/// Why no connection was opened.
#[derive(Debug, Snafu)]
pub(super) enum ConnectError {
    /// Connecting took longer than [`CONNECT_TIMEOUT`].
    #[snafu(display("timed out"))]
    Timeout {
        /// Error of the timer.
        source: tokio::time::error::Elapsed,
    },
    /// The connection was refused or broke.
    #[snafu(display("connection refused or broken"))]
    Io {
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The HTTP client could not use the connection.
    #[snafu(display("HTTP handshake failed"))]
    Handshake {
        /// Error of the HTTP client.
        source: hyper::Error,
    },
}

/// Counts one connection against the server's limit of connections until dropped.
#[derive(Debug)]
pub(super) struct ConnectionToken(UnboundedSender<ServerMessage>);

impl ConnectionToken {
    pub(super) fn new(mailbox: UnboundedSender<ServerMessage>) -> Self {
        Self(mailbox)
    }
}

impl Drop for ConnectionToken {
    fn drop(&mut self) {
        let _ = self.0.send(ServerMessage::Closed);
    }
}

/// An open connection to a server.
#[derive(Debug)]
pub(super) struct ServerConnection {
    sender: SendRequest<RequestBody>,
    /// Limit for what arrives before the head of a reply.
    head_limit: HeadLimit,
    /// Task that reads and writes the socket; aborting it closes the connection.
    driver: AbortHandle,
}

impl ServerConnection {
    /// Opens a connection; the token is dropped when the connection closes.
    pub(super) async fn open(
        address: SocketAddr,
        token: ConnectionToken,
    ) -> Result<Self, ConnectError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.context(TimeoutSnafu)?.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        let stream = ServerStream::new(stream);
        let head_limit = stream.head_limit();
        let handshake = http1::Builder::new()
            .max_header_size(MAX_REPLY_HEADER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            // Errors reach the request through its response future or body.
            let _ = connection.await;
            drop(token);
        });
        Ok(Self {
            sender,
            head_limit,
            driver: driver.abort_handle(),
        })
    }

    /// Whether the server or this host has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can carry the next request.
    pub(super) async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Sends a request and returns the head of the reply.
    pub(super) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
        let head = self.sender.try_send_request(request);
        self.head_limit.apply(head).await
    }

    /// Handle that closes the connection when aborted.
    pub(super) fn abort_handle(&self) -> AbortHandle {
        self.driver.clone()
    }
}
