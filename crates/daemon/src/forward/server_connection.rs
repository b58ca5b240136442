//! HTTP/1.1 connections to a server.

use {
    super::{RequestBody, server_handle::ServerMessage},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    snafu::{ResultExt, Snafu},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, sync::mpsc::UnboundedSender, task::AbortHandle, time::timeout},
};

/// Longest time to open a connection; servers take about 1 ms.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Largest header block of a server's reply, in bytes.
const REPLY_HEAD_LIMIT: usize = 64 << 10;

/// Why no connection was opened.
#[derive(Debug, Snafu)]
pub(super) enum ConnectError {
    /// The server took too long.
    #[snafu(display("no connection within the limit"))]
    TooSlow {
        /// Timer's reason.
        source: tokio::time::error::Elapsed,
    },
    /// The connection was refused or broke.
    #[snafu(display("the connection failed"))]
    Refused {
        /// Transport's reason.
        source: std::io::Error,
    },
    /// The HTTP client refused the connection.
    #[snafu(display("the HTTP handshake failed"))]
    Handshake {
        /// Client's reason.
        source: hyper::Error,
    },
}

/// Counts one connection against the server's limit for as long as it lives.
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

/// An open connection.
#[derive(Debug)]
pub(super) struct ServerConnection {
    sender: SendRequest<RequestBody>,
    driver: AbortHandle,
}

impl ServerConnection {
    /// Opens a connection; the token lives as long as the socket.
    pub(super) async fn open(
        address: SocketAddr,
        token: ConnectionToken,
    ) -> Result<Self, ConnectError> {
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
        let stream = connecting
            .await
            .context(TooSlowSnafu)?
            .context(RefusedSnafu)?;
        stream.set_nodelay(true).context(RefusedSnafu)?;
        let handshake = http1::Builder::new()
            .max_header_size(REPLY_HEAD_LIMIT)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            // Failures reach the request through its response future or body.
            let _ = connection.await;
            drop(token);
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Whether the server or this host closed it.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sender of requests.
    pub(super) fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Ends the connection when used.
    pub(super) fn abort_handle(&self) -> AbortHandle {
        self.driver.clone()
    }
}
