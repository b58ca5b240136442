//! Destination and limits of one attempt to deliver a request.

use {
    camphorcove_core::time::BootTime,
    camphorcove_net::peer::ForwardEnvelope,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
};

/// Destination and limits of one attempt to deliver a request, on the entry host and on the
/// host to which it is passed on.
#[derive(Clone, Debug)]
pub struct ForwardPlan {
    /// Destination, as it is sent to another host; its remaining time is set only then.
    pub envelope: ForwardEnvelope,
    /// Deadline on this host's clock.
    pub deadline: BootTime,
    /// Whether a server may have received the request: set just before the request is sent to a
    /// server or another host, and cleared if it turns out that nothing was sent.
    pub maybe_sent: Arc<AtomicBool>,
}

impl ForwardPlan {
    /// Creates a plan for a request that has not been sent.
    pub fn new(envelope: ForwardEnvelope, deadline: BootTime) -> Self {
        Self {
            envelope,
            deadline,
            maybe_sent: Arc::default(),
        }
    }

    /// Marks that the request may reach a server from now on.
    pub fn mark_sent(&self) {
        self.maybe_sent.store(true, Relaxed);
    }
}
