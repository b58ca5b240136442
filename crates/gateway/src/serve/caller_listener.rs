//! The listener for callers.

use {
    super::RequestFlow,
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

/// Descriptors kept for servers, the store, listeners and files.
const RESERVED_DESCRIPTORS: usize = 600;

/// Fewest caller connections, whatever the descriptors allow.
const LEAST_CALLERS: usize = 128;

/// Longest time for a header block, and between requests, before a configuration is known.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Smallest and largest buffer for a header block, in bytes, whatever is configured: the
/// parser needs the first, and memory bounds the second.
const HEAD_BYTES: (usize, usize) = (8 << 10, 64 << 10);

/// Allowance for callers whose clocks and networks delay what they send within the limit.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after the stop began in which new callers still arrive: the balancer takes
/// two failed questions, one a second, until it stops sending.
const STOP_LINGER: Duration = Duration::from_millis(3_200);

/// Part of the stop's time that is kept for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Takes callers' connections.
pub struct CallerListener {
    state: Arc<HostState>,
    flow: Arc<RequestFlow>,
}

impl CallerListener {
    /// Listener whose requests `flow` answers.
    pub fn new(state: Arc<HostState>, flow: Arc<RequestFlow>) -> Self {
        Self { state, flow }
    }

    /// Serves until the stop, then until all requests have ended or its time is over.
    pub async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let limit = self.state.settings.descriptors;
        let limit = limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(LEAST_CALLERS);
        let places = Arc::new(Semaphore::new(limit));
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                accepted = accept(&listener, &places) => self.serve(accepted, &graceful),
            }
        }
        let linger = sleep(STOP_LINGER);
        tokio::pin!(linger);
        loop {
            tokio::select! {
                () = &mut linger => break,
                accepted = accept(&listener, &places) => self.serve(accepted, &graceful),
            }
        }
        drop(listener);
        let rest = self.state.settings.stop_limit;
        let rest = rest.saturating_sub(STOP_LINGER + EXIT_MARGIN);
        if timeout(rest, graceful.shutdown()).await.is_err() {
            log::warn!("requests were still running at the end of the stop");
        }
    }

    /// Idle time and header bytes that a new connection may take.
    fn limits(&self) -> (Duration, usize) {
        let (least, most) = HEAD_BYTES;
        match self.state.table() {
            Some(table) => {
                let limits = table.limits;
                let idle = limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK;
                (idle, limits.header_bytes.clamp(least, most))
            }
            None => (IDLE_LIMIT, most),
        }
    }

    fn serve(
        &self,
        accepted: Option<(TcpStream, OwnedSemaphorePermit)>,
        graceful: &GracefulShutdown,
    ) {
        let Some((stream, place)) = accepted else {
            return;
        };
        let flow = self.flow.clone();
        let service = service_fn(move |request| {
            let flow = flow.clone();
            async move { Ok::<_, Infallible>(flow.answer(request).await) }
        });
        let (idle, head_bytes) = self.limits();
        // The timer runs between requests as well, so the longer of both limits counts.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(head_bytes)
            .half_close(false)
            .serve_connection(TokioIo::new(CallerStream::new(stream)), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(reason:% = error; "caller connection ended");
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
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!(reason:% = error; "caller socket without options");
            }
            Some((stream, place))
        }
        Err(error) => {
            log::warn!(reason:% = error; "accept failed");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
