//! Listener for requests that other hosts hand to this one.

use {
    super::{RequestHandler, caller_connection::serve_connection, request_origin::RequestOrigin},
    hyper::server::conn::http1,
    hyper_util::rt::TokioTimer,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{Semaphore, mpsc, watch},
        time::sleep,
    },
};

/// Connections of other hosts that are served at the same time.
const MAX_CONNECTIONS: usize = 512;

/// Longest time between two requests, and for reading a header block: more than the time for
/// which other hosts use idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Buffer for a header block, in bytes: that of callers and the header of the relay.
const HEADER_BUFFER_BYTES: usize = 72 << 10;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the begin of a stop for which requests are taken: other hosts have heard by then that
/// this one no longer takes part.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(1_800);

/// What the connections of a listener need.
pub(super) struct RelayContext {
    pub handler: Arc<RequestHandler>,
    /// Set when idle connections have to close.
    pub closing: watch::Receiver<bool>,
    /// Set when the host stops.
    pub stop: watch::Receiver<bool>,
    /// Each connection holds a clone while it is open.
    pub open: mpsc::Sender<()>,
}

/// Serves other hosts until some time after the host has begun to stop.
pub(super) async fn serve_relays(listener: TcpListener, context: RelayContext) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut stop = context.stop.clone();
    let stopped = async {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(STOP_ACCEPT_TIME).await;
    };
    tokio::pin!(stopped);
    loop {
        let accepting = async {
            let slot = slots.clone().acquire_owned().await;
            (listener.accept().await, slot)
        };
        let (accepted, slot) = tokio::select! {
            () = &mut stopped => return,
            accepted = accepting => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(reason:% = error; "cannot accept a connection of another host");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(reason:% = error; "cannot set TCP_NODELAY on a connection of another host");
        }
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(HEADER_BUFFER_BYTES)
            .half_close(false);
        let handler = context.handler.clone();
        let closing = context.closing.clone();
        let open = context.open.clone();
        tokio::spawn(async move {
            serve_connection(handler, builder, stream, RequestOrigin::Host, closing).await;
            drop((slot, open));
        });
    }
}
