//! Listener for callers' connections.

use {
    super::RequestHandler,
    crate::state::HostState,
    camphorcove_net::http::CallerStream,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time::{sleep, timeout},
    },
};

/// File descriptors reserved for connections to servers and the store, listeners and files.
const RESERVED_DESCRIPTORS: usize = 600;

/// Number of caller connections that are always allowed, whatever the descriptor limit.
const MIN_CALLER_CONNECTIONS: usize = 128;

/// Limit for reading a header block, and between requests, until a configuration is known.
const UNCONFIGURED_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Smallest and largest buffer for a header block, in bytes, whatever is configured: the
/// parser needs the former, and the latter bounds memory use.
const HEADER_BUFFER_BYTES: (usize, usize) = (8 << 10, 64 << 10);

/// Added to the idle timeout, for callers that send within the limit but whose clock or
/// network delays the request.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time during which new connections are accepted after a stop has begun: the load balancer
/// probes readiness once a second and stops sending callers after two failed probes.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(3_200);

/// Part of the stop time limit that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Accepts callers' connections and serves the requests on them.
pub struct CallerListener {
    state: Arc<HostState>,
    handler: Arc<RequestHandler>,
}

impl CallerListener {
    /// Creates a listener whose requests `handler` answers.
    pub fn new(state: Arc<HostState>, handler: Arc<RequestHandler>) -> Self {
        Self { state, handler }
    }

    /// Serves until `stop` is set, then until all requests have ended or the stop time limit
    /// has passed.
    pub async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let limit = self.state.settings.descriptors;
        let limit = limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CALLER_CONNECTIONS);
        let connection_slots = Arc::new(Semaphore::new(limit));
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                accepted = accept(&listener, &connection_slots) => self.serve(accepted, &graceful),
            }
        }
        let accept_period = sleep(STOP_ACCEPT_TIME);
        tokio::pin!(accept_period);
        loop {
            tokio::select! {
                () = &mut accept_period => break,
                accepted = accept(&listener, &connection_slots) => self.serve(accepted, &graceful),
            }
        }
        drop(listener);
        let remaining = self.state.settings.stop_limit;
        let remaining = remaining.saturating_sub(STOP_ACCEPT_TIME + EXIT_MARGIN);
        if timeout(remaining, graceful.shutdown()).await.is_err() {
            log::warn!("stop time limit reached; closing connections with running requests");
        }
    }

    /// Idle timeout and header buffer size of a new connection.
    fn limits(&self) -> (Duration, usize) {
        let (least, most) = HEADER_BUFFER_BYTES;
        match self.state.table() {
            Some(table) => {
                let limits = table.limits;
                let idle = limits.idle_timeout.max(limits.header_timeout) + IDLE_TIMEOUT_MARGIN;
                (idle, limits.header_bytes.clamp(least, most))
            }
            None => (UNCONFIGURED_IDLE_TIMEOUT, most),
        }
    }

    fn serve(
        &self,
        accepted: Option<(TcpStream, OwnedSemaphorePermit)>,
        graceful: &GracefulShutdown,
    ) {
        let Some((stream, slot)) = accepted else {
            return;
        };
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let (idle, header_buffer_bytes) = self.limits();
        // hyper's header timer also runs between requests, so it is set to the longer of the
        // header timeout and the idle timeout.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(header_buffer_bytes)
            .half_close(false)
            .serve_connection(TokioIo::new(CallerStream::new(stream)), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(reason:% = error; "caller connection ended");
            }
            drop(slot);
        });
    }
}

async fn accept(
    listener: &TcpListener,
    connection_slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = connection_slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!(reason:% = error; "cannot set TCP_NODELAY on a caller connection");
            }
            Some((stream, slot))
        }
        Err(error) => {
            log::warn!(reason:% = error; "accept failed");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
