//! What a server ran.

use {
    camphorcove_core::{ids::FencingToken, time::BootTime},
    std::collections::HashSet,
};

/// A request that a server began to run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunEntry {
    /// Value of the request id header.
    pub request_id: Option<String>,
    /// Value of the idempotency key header.
    pub idempotency_key: Option<String>,
    /// Service named by the router.
    pub service: Option<String>,
    /// Shard named by the router.
    pub shard: Option<u32>,
    /// Token named by the router.
    pub token: Option<FencingToken>,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// When it began, on the host's boot-time clock.
    pub started: BootTime,
    /// When it ended; `None` while it runs.
    pub ended: Option<BootTime>,
    /// Its caller went away before it was done.
    pub cancelled: bool,
}

/// Runs in the order they began.
#[derive(Debug, Default)]
pub(super) struct RunLedger {
    entries: Vec<RunEntry>,
    idempotency_keys: HashSet<String>,
}

impl RunLedger {
    /// Records a run and returns its number.
    pub fn begin(&mut self, entry: RunEntry) -> usize {
        if let Some(key) = &entry.idempotency_key {
            self.idempotency_keys.insert(key.clone());
        }
        self.entries.push(entry);
        self.entries.len() - 1
    }

    pub fn end(&mut self, number: usize, now: BootTime, cancelled: bool) {
        if let Some(entry) = self.entries.get_mut(number) {
            entry.ended = Some(now);
            entry.cancelled = cancelled;
        }
    }

    pub fn has_run(&self, idempotency_key: &str) -> bool {
        self.idempotency_keys.contains(idempotency_key)
    }

    pub fn entries(&self) -> &[RunEntry] {
        &self.entries
    }
}
