//! Listener for callers.

use {
    super::{CallerRequests, EntryHandler},
    crate::{context::RequestContext, forward::ForwardService},
    camphorcove_net::http::CallerStream,
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
    },
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        sync::Arc,
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
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
    /// caller to close, unless another request behind it has been read. Connections that are still
    /// open and idle after that are closed.
    pub async fn run(self, listener: TcpListener, shutdown: impl Future<Output = ()> + Send) {
        let closing = watch::Sender::new(false);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        tokio::pin!(shutdown);
        loop {
            let accepted = tokio::select! {
                () = &mut shutdown => break,
                accepted = accept(&listener, &permits) => accepted,
            };
            if let Some((stream, permit)) = accepted {
                self.serve(stream, permit, closing.subscribe());
            }
        }
        self.handler.begin_stop();
        self.serve_backlog(listener, &permits, &closing);
        let all = u32::try_from(MAX_CONNECTIONS).unwrap_or(u32::MAX);
        if timeout(CLOSE_GRACE, permits.acquire_many(all))
            .await
            .is_err()
        {
            closing.send_replace(true);
            let _ = permits.acquire_many(all).await;
        }
    }

    /// Serves the connections that wait in the listen backlog, which would be reset, and closes the
    /// listener.
    fn serve_backlog(
        &self,
        listener: TcpListener,
        permits: &Arc<Semaphore>,
        closing: &watch::Sender<bool>,
    ) {
        // tokio's listener may not have learned of the latest connections yet.
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!("listen backlog not emptied: {error}");
                return;
            }
        };
        while let Ok(permit) = permits.clone().try_acquire_owned() {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let accepted = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match accepted {
                Ok(stream) => self.serve(stream, permit, closing.subscribe()),
                Err(error) => log::warn!("accepting a caller connection failed: {error}"),
            }
        }
    }

    fn serve(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        closing: watch::Receiver<bool>,
    ) {
        let handler = self.handler.clone();
        tokio::spawn(async move {
            serve_connection(handler, stream, closing).await;
            drop(permit);
        });
    }
}

/// Serves a connection until the caller closes it, or until the requests that have been read are
/// answered after `closing` is set.
async fn serve_connection(
    handler: Arc<EntryHandler>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let stream = CallerStream::new(stream);
    let requests = Arc::new(CallerRequests::new(stream.received_heads()));
    let counted = requests.clone();
    let service = service_fn(move |request| {
        let (handler, requests) = (handler.clone(), counted.clone());
        async move { Ok::<_, Infallible>(handler.answer(request, &requests).await) }
    });
    let builder = builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = closing.wait_for(|closing| *closing);
    tokio::pin!(closing);
    let mut must_close = false;
    let mut shutting_down = false;
    let ended = poll_fn(|cx| {
        must_close = must_close || closing.as_mut().poll(cx).is_ready();
        loop {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            if shutting_down || !must_close || requests.has_unanswered() {
                return Poll::Pending;
            }
            shutting_down = true;
            connection.as_mut().graceful_shutdown();
        }
    });
    if let Err(error) = ended.await {
        log::debug!("caller connection ended: {error}");
    }
}

/// Accepts a connection once fewer than `MAX_CONNECTIONS` are open; `None` after a failure.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
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
