//! Log of the requests that a backend stand-in ran, for checks by tests.

use {
    camphorcove_core::{ids::FencingToken, time::BootTime},
    std::collections::HashSet,
};

/// A request that a server began to run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestRecord {
    /// Value of the request id header.
    pub request_id: Option<String>,
    /// Value of the idempotency key header.
    pub idempotency_key: Option<String>,
    /// Service in the router's headers.
    pub service: Option<String>,
    /// Shard in the router's headers.
    pub shard: Option<u32>,
    /// Fencing token in the router's headers.
    pub token: Option<FencingToken>,
    /// Request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// When the request began to run, on the host's boot-time clock.
    pub started: BootTime,
    /// When the request ended; `None` while it runs.
    pub ended: Option<BootTime>,
    /// The caller disconnected before the request completed.
    pub cancelled: bool,
}

/// Requests in the order in which they began to run.
#[derive(Debug, Default)]
pub(super) struct RunLedger {
    entries: Vec<RequestRecord>,
    idempotency_keys: HashSet<String>,
}

impl RunLedger {
    /// Records a request and returns its index.
    pub fn begin(&mut self, entry: RequestRecord) -> usize {
        if let Some(key) = &entry.idempotency_key {
            self.idempotency_keys.insert(key.clone());
        }
        self.entries.push(entry);
        self.entries.len() - 1
    }

    pub fn end(&mut self, index: usize, now: BootTime, cancelled: bool) {
        if let Some(entry) = self.entries.get_mut(index) {
            entry.ended = Some(now);
            entry.cancelled = cancelled;
        }
    }

    pub fn has_run(&self, idempotency_key: &str) -> bool {
        self.idempotency_keys.contains(idempotency_key)
    }

    pub fn entries(&self) -> &[RequestRecord] {
        &self.entries
    }
}
