//! Requests of one caller connection during a planned stop.

use {
    camphorcove_net::http::ReceivedHeads,
    std::sync::atomic::{AtomicU64, Ordering::Relaxed},
};

/// Counts the requests of one HTTP/1.1 connection, so that the connection does not end in front of
/// one that has been read already. HTTP/2 streams are not counted as received.
#[derive(Debug)]
pub struct CallerRequests {
    received: ReceivedHeads,
    begun: AtomicU64,
    answered: AtomicU64,
}

impl CallerRequests {
    /// Counts the requests of the connection with these heads.
    pub fn new(received: ReceivedHeads) -> Self {
        Self {
            received,
            begun: AtomicU64::new(0),
            answered: AtomicU64::new(0),
        }
    }

    /// Records that the next request is being answered.
    pub fn begin(&self) {
        self.begun.fetch_add(1, Relaxed);
    }

    /// Records that a request has its answer.
    pub fn end(&self) {
        self.answered.fetch_add(1, Relaxed);
    }

    /// Whether no request behind the one that is being answered has been read.
    pub fn is_last(&self) -> bool {
        self.received.count() <= self.begun.load(Relaxed)
    }

    /// Whether a request that has been read has no answer yet.
    pub fn has_unanswered(&self) -> bool {
        self.received.count() > self.answered.load(Relaxed)
    }
}
