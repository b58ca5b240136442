//! Listener for callers' connections.

use {
    super::{
        RequestHandler,
        caller_connection::serve_connection,
        relay_listener::{RelayContext, serve_relays},
        request_origin::RequestOrigin,
    },
    crate::state::HostState,
    hyper::server::conn::http1,
    hyper_util::rt::TokioTimer,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch},
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

/// Part of the stop time limit that is reserved for answers to requests which servers have not
/// answered by then: many times what writing them takes. Idle connections are open until then, as requests
/// that arrive on them are refused, and callers cannot tell what a closed connection means.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Part of the stop time limit that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Tells connections to close, and tells when all of them have ended.
struct ConnectionGroup {
    closing: watch::Sender<bool>,
    /// Each connection holds a clone of it while it is open.
    open: mpsc::Sender<()>,
    ended: mpsc::Receiver<()>,
}

impl ConnectionGroup {
    fn new() -> Self {
        let (open, ended) = mpsc::channel(1);
        Self {
            closing: watch::Sender::new(false),
            open,
            ended,
        }
    }

    /// Waits until all connections have ended. After `idle_time` it asks those that are idle to
    /// close, and the others when their requests have been answered.
    async fn close(mut self, idle_time: Duration) {
        drop(self.open);
        let all_ended = async { while self.ended.recv().await.is_some() {} };
        tokio::pin!(all_ended);
        if timeout(idle_time, &mut all_ended).await.is_err() {
            self.closing.send_replace(true);
            all_ended.await;
        }
    }
}

/// Accepts callers' connections and serves the requests on them.
pub struct CallerListener {
    state: Arc<HostState>,
    handler: Arc<RequestHandler>,
    /// Accepts connections of other hosts.
    relays: Option<TcpListener>,
}

impl CallerListener {
    /// Creates a listener whose requests `handler` answers.
    pub fn new(state: Arc<HostState>, handler: Arc<RequestHandler>) -> Self {
        Self {
            state,
            handler,
            relays: None,
        }
    }

    /// Serves also requests that other hosts hand to this one over `listener`.
    pub fn with_relays(mut self, listener: TcpListener) -> Self {
        self.relays = Some(listener);
        self
    }

    /// Serves until `stop` is set, then until all requests have ended or the stop time limit
    /// has passed.
    pub async fn run(mut self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let limit = self.state.settings.descriptors;
        let limit = limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CALLER_CONNECTIONS);
        let connection_slots = Arc::new(Semaphore::new(limit));
        let connections = ConnectionGroup::new();
        if let Some(listener) = self.relays.take() {
            let context = RelayContext {
                handler: self.handler.clone(),
                closing: connections.closing.subscribe(),
                stop: stop.clone(),
                open: connections.open.clone(),
            };
            tokio::spawn(serve_relays(listener, context));
        }
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                accepted = accept(&listener, &connection_slots) => {
                    if let Some((stream, slot)) = accepted {
                        self.serve(stream, Some(slot), &connections);
                    }
                }
            }
        }
        let accept_period = sleep(STOP_ACCEPT_TIME);
        tokio::pin!(accept_period);
        loop {
            tokio::select! {
                () = &mut accept_period => break,
                accepted = accept(&listener, &connection_slots) => {
                    if let Some((stream, slot)) = accepted {
                        self.serve(stream, Some(slot), &connections);
                    }
                }
            }
        }
        self.serve_queue(listener, &connection_slots, &connections);
        let remaining = self.state.settings.stop_limit;
        let remaining =
            remaining.saturating_sub(STOP_ACCEPT_TIME + LAST_ANSWERS_TIME + EXIT_MARGIN);
        let closing = connections.close(remaining);
        tokio::pin!(closing);
        if timeout(remaining, &mut closing).await.is_ok() {
            return;
        }
        log::warn!("stop time limit reached; answering requests that wait for servers");
        self.handler.answer_waiting_requests();
        if timeout(LAST_ANSWERS_TIME, closing).await.is_err() {
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

    /// Serves the connections in the listener's accept queue, which would be reset, and closes the
    /// listener. They are served beyond the limit as well, as their requests are refused at once.
    fn serve_queue(
        &self,
        listener: TcpListener,
        connection_slots: &Arc<Semaphore>,
        connections: &ConnectionGroup,
    ) {
        // tokio's listener may not have learned of the latest connections yet.
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(reason:% = error; "accept queue not emptied");
                return;
            }
        };
        while let Ok((stream, _)) = listener.accept() {
            let accepted = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match accepted {
                Ok(stream) => {
                    let slot = connection_slots.clone().try_acquire_owned().ok();
                    self.serve(stream, slot, connections);
                }
                Err(error) => log::warn!(reason:% = error; "accept failed"),
            }
        }
    }

    fn serve(
        &self,
        stream: TcpStream,
        slot: Option<OwnedSemaphorePermit>,
        connections: &ConnectionGroup,
    ) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(reason:% = error; "cannot set TCP_NODELAY on a caller connection");
        }
        let (idle, header_buffer_bytes) = self.limits();
        // hyper's header timer also runs between requests, so it is set to the longer of the
        // header timeout and the idle timeout.
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(header_buffer_bytes)
            .half_close(false);
        let handler = self.handler.clone();
        let closing = connections.closing.subscribe();
        let open = connections.open.clone();
        tokio::spawn(async move {
            serve_connection(handler, builder, stream, RequestOrigin::Caller, closing).await;
            drop((slot, open));
        });
    }
}

async fn accept(
    listener: &TcpListener,
    connection_slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = connection_slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(error) => {
            log::warn!(reason:% = error; "accept failed");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
