//! What an attempt carries from the entry host to the server.

use {
    camphorcove_core::time::BootTime,
    camphorcove_net::peer::ForwardEnvelope,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
};

/// Destination and limits of one attempt.
#[derive(Clone, Debug)]
pub struct ForwardPlan {
    /// Destination as the envelope names it; its remaining time is set when it is sealed.
    pub envelope: ForwardEnvelope,
    /// Deadline on this host's clock.
    pub deadline: BootTime,
    /// Set just before the request is handed to a server or another host.
    pub handed_over: Arc<AtomicBool>,
}

impl ForwardPlan {
    /// A plan of which nothing has been sent.
    pub fn new(envelope: ForwardEnvelope, deadline: BootTime) -> Self {
        Self {
            envelope,
            deadline,
            handed_over: Arc::default(),
        }
    }

    /// Notes that the request may reach a server from now on.
    pub fn hand_over(&self) {
        self.handed_over.store(true, Relaxed);
    }
}
