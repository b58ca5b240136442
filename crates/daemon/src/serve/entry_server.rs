//! Listener for callers.

use {
    super::EntryHandler,
    crate::{context::RequestContext, forward::ForwardService},
    camphorcove_net::http::CallerStream,
    futures_util::FutureExt,
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{sleep, timeout},
    },
};

/// Most caller connections open at once; further callers wait in the listen backlog.
const MAX_CONNECTIONS: usize = 16_384;

/// Time limit for receiving a header block, and for an idle connection between requests.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest header block that is read, in bytes; services may set lower limits.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Most HTTP/2 streams open at once on one caller connection.
const MAX_STREAMS: u32 = 128;

/// Flow-control window of one HTTP/2 stream, in bytes.
const STREAM_WINDOW: u32 = 64 << 10;

/// Interval of HTTP/2 pings to callers, and time limit of their answers.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Time for which open connections are served after the listener closes, so that answers can
/// ask their callers to close.
const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// HTTP server for the callers of one listener.
#[derive(Debug)]
pub struct EntryServer {
    handler: Arc<EntryHandler>,
}

impl EntryServer {
    /// Creates a server that delivers requests through `forward`.
    pub fn new(context: RequestContext, forward: Arc<ForwardService>) -> Self {
        Self {
            handler: Arc::new(EntryHandler::new(context, forward)),
        }
    }

    /// Serves until `shutdown` completes, then finishes the requests in flight.
    ///
    /// Closing an idle HTTP/1.1 connection would lose a request that is already on its way.
    /// Open connections are therefore served for `CLOSE_GRACE`, and each answer asks its
    /// caller to close. Connections that are still open and idle after that are closed.
    pub async fn run(self, listener: TcpListener, shutdown: impl Future<Output = ()> + Send) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        tokio::pin!(shutdown);
        loop {
            let accepted = tokio::select! {
                () = &mut shutdown => break,
                accepted = accept(&listener, &permits) => accepted,
            };
            if let Some((stream, permit)) = accepted {
                self.serve(stream, permit, &graceful);
            }
        }
        self.handler.begin_stop();
        self.serve_backlog(&listener, &permits, &graceful);
        drop(listener);
        let all = u32::try_from(MAX_CONNECTIONS).unwrap_or(u32::MAX);
        let _ = timeout(CLOSE_GRACE, permits.acquire_many(all)).await;
        graceful.shutdown().await;
    }

    /// Serves the connections that wait in the listen backlog.
    fn serve_backlog(
        &self,
        listener: &TcpListener,
        permits: &Arc<Semaphore>,
        graceful: &GracefulShutdown,
    ) {
        while let Some(Some((stream, permit))) = accept(listener, permits).now_or_never() {
            self.serve(stream, permit, graceful);
        }
    }

    fn serve(&self, stream: TcpStream, permit: OwnedSemaphorePermit, graceful: &GracefulShutdown) {
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.answer(request).await) }
        });
        let io = TokioIo::new(CallerStream::new(stream));
        let connection = builder().serve_connection(io, service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("caller connection ended: {error}");
            }
            drop(permit);
        });
    }
}

/// Accepts a connection once fewer than `MAX_CONNECTIONS` are open; `None` after a failure.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, permit))
        }
        Err(error) => {
            log::warn!("accepting a caller connection failed: {error}");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .max_header_list_size(u32::try_from(MAX_HEADER_BYTES).unwrap_or(u32::MAX))
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}
