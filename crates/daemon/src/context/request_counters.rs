//! Counters of the request path.

use {
    crate::{maps::ShardLoads, metrics::ServiceStats},
    camphorcove_core::outcome::ResultCode,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

/// Events counted since the process started. Written without locks, read by the metrics.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests accepted from callers.
    pub requests: AtomicU64,
    /// Requests of callers in progress.
    pub in_flight: AtomicU64,
    /// Requests that wait for a newer routing map.
    pub waiting: AtomicU64,
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Retries not made because the budget was spent.
    pub retries_refused: AtomicU64,
    /// Requests routed again because the map had changed.
    pub reroutes: AtomicU64,
    /// Requests sent to another host.
    pub hops_out: AtomicU64,
    /// Requests received from another host.
    pub hops_in: AtomicU64,
    /// Connections opened to servers.
    pub server_connections: AtomicU64,
    /// Replies that broke off after their head was passed on.
    pub replies_cut: AtomicU64,
    /// Callers that left before their answer was complete.
    pub callers_left: AtomicU64,
    /// Results and latency by service.
    pub services: ServiceStats,
    /// Requests sent to servers, by shard.
    pub shards: Arc<ShardLoads>,
    results: ResultCounters,
}

#[derive(Debug)]
struct ResultCounters(Vec<AtomicU64>);

impl Default for ResultCounters {
    fn default() -> Self {
        Self(ResultCode::ALL.iter().map(|_| AtomicU64::new(0)).collect())
    }
}

impl RequestCounters {
    /// Counts the result that a caller was told.
    pub fn count_result(&self, code: ResultCode) {
        let index = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| self.results.0.get(index)) {
            counter.fetch_add(1, Relaxed);
        }
    }

    /// Results told to callers, by code.
    pub fn results(&self) -> impl Iterator<Item = (ResultCode, u64)> + '_ {
        let counts = self.results.0.iter().map(|counter| counter.load(Relaxed));
        ResultCode::ALL.iter().copied().zip(counts)
    }
}
