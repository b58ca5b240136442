//! Task that accepts connections and passes requests to a handler.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    snafu::Snafu,
    std::{
        future::Future,
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// Port 0 of the loopback address: the OS chooses the port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Response with a complete, buffered body.
pub type Reply = Response<Full<Bytes>>;

/// Returned by a handler to close the connection without a response.
#[derive(Debug, Snafu)]
#[snafu(display("connection closed without a response"), visibility(pub))]
pub struct ConnectionAborted;

/// Behaviour of a stand-in on connections and requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Held while a connection is open.
    type Permit: Send + 'static;

    /// Admits a new connection; `None` closes it at once.
    fn admit(self: &Arc<Self>) -> Option<Self::Permit>;

    /// Answers a request. The future is dropped if the connection closes.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, ConnectionAborted>> + Send;
}

/// A running HTTP server; dropping it closes the listener and its connections.
#[derive(Debug)]
pub struct HttpTask {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpTask {
    /// Listens on `address`; port 0 lets the OS choose.
    pub async fn start<H: HttpHandler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, handler));
        Ok(Self { address, task })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all<H: HttpHandler>(listener: TcpListener, handler: Arc<H>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let Some(permit) = handler.admit() else { continue };
                connections.spawn(serve_connection(stream, handler.clone(), permit));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: HttpHandler>(stream: TcpStream, handler: Arc<H>, _permit: H::Permit) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| handler.clone().handle(request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection ended: {error}");
    }
}
