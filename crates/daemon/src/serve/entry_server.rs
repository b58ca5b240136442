//! The caller listener.

use {
    super::EntryFlow,
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

/// Caller connections open at once; further callers wait in the listen backlog.
const CALLER_LIMIT: usize = 16_384;

/// Longest time a caller may take for a header block, and be idle between requests.
const HEAD_LIMIT: Duration = Duration::from_secs(15);

/// Largest header block read at all, in bytes; services set lower limits.
const HEAD_BYTES: usize = 64 << 10;

/// Streams open at once on one caller connection.
const CALLER_STREAMS: u32 = 128;

/// Flow-control window of one stream of a caller.
const CALLER_WINDOW: u32 = 64 << 10;

/// Interval and limit of pings to callers.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Time in which callers with open connections learn that this host stops.
const LINGER: Duration = Duration::from_secs(2);

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on one listener.
#[derive(Debug)]
pub struct EntryServer {
    flow: Arc<EntryFlow>,
}

impl EntryServer {
    /// A server whose requests are delivered through `forward`.
    pub fn new(context: RequestContext, forward: Arc<ForwardService>) -> Self {
        Self {
            flow: Arc::new(EntryFlow::new(context, forward)),
        }
    }

    /// Serves until `shutdown` completes, then finishes the requests in flight.
    ///
    /// Closing an idle HTTP/1.1 connection would lose a request that is on its way.
    /// So open connections are served on for [`LINGER`], each answer asks its caller
    /// to close, and only connections that stay idle are closed.
    pub async fn run(self, listener: TcpListener, shutdown: impl Future<Output = ()> + Send) {
        let graceful = GracefulShutdown::new();
        let places = Arc::new(Semaphore::new(CALLER_LIMIT));
        tokio::pin!(shutdown);
        loop {
            let accepted = tokio::select! {
                () = &mut shutdown => break,
                accepted = accept(&listener, &places) => accepted,
            };
            if let Some((stream, place)) = accepted {
                self.serve(stream, place, &graceful);
            }
        }
        self.flow.begin_stop();
        self.serve_backlog(&listener, &places, &graceful);
        drop(listener);
        let all = u32::try_from(CALLER_LIMIT).unwrap_or(u32::MAX);
        let _ = timeout(LINGER, places.acquire_many(all)).await;
        graceful.shutdown().await;
    }

    /// Serves callers whose connection the system has already accepted.
    fn serve_backlog(
        &self,
        listener: &TcpListener,
        places: &Arc<Semaphore>,
        graceful: &GracefulShutdown,
    ) {
        while let Some(Some((stream, place))) = accept(listener, places).now_or_never() {
            self.serve(stream, place, graceful);
        }
    }

    fn serve(&self, stream: TcpStream, place: OwnedSemaphorePermit, graceful: &GracefulShutdown) {
        let flow = self.flow.clone();
        let service = service_fn(move |request| {
            let flow = flow.clone();
            async move { Ok::<_, Infallible>(flow.answer(request).await) }
        });
        let io = TokioIo::new(CallerStream::new(stream));
        let connection = builder().serve_connection(io, service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("caller connection ended: {error}");
            }
            drop(place);
        });
    }
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let place = places.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, place))
        }
        Err(error) => {
            log::warn!("accept failed: {error}");
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
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(HEAD_BYTES)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(CALLER_STREAMS)
        .initial_stream_window_size(CALLER_WINDOW)
        .max_header_list_size(u32::try_from(HEAD_BYTES).unwrap_or(u32::MAX))
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}
