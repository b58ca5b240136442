//! Counters of the request path.

use {
    crate::{maps::ShardLoads, metrics::ServiceStats},
    camphorcove_core::outcome::ResultCode,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

/// Counters since the process started, for the metrics. Writes take no lock.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests accepted from callers.
    pub requests: AtomicU64,
    /// Callers' requests in flight.
    pub in_flight: AtomicU64,
    /// Requests that wait for a routing map now.
    pub waiting: AtomicU64,
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Retries not made because the service's retry budget was used up.
    pub retries_refused: AtomicU64,
    /// Times a request was routed again because its routing map was out of date.
    pub reroutes: AtomicU64,
    /// Requests passed on to another host.
    pub forwarded_out: AtomicU64,
    /// Requests that another host passed on to this one.
    pub forwarded_in: AtomicU64,
    /// Connections opened to servers.
    pub server_connections: AtomicU64,
    /// Replies that broke off after their head was sent on.
    pub replies_cut: AtomicU64,
    /// Callers that disconnected before their answer was complete.
    pub callers_disconnected: AtomicU64,
    /// Results and latency by service.
    pub services: ServiceStats,
    /// Requests sent to servers, by shard.
    pub shards: Arc<ShardLoads>,
    results: ResultCounters,
}

/// Number of results by code, in the order of [`ResultCode::ALL`].
#[derive(Debug)]
struct ResultCounters(Vec<AtomicU64>);

impl Default for ResultCounters {
    fn default() -> Self {
        Self(ResultCode::ALL.iter().map(|_| AtomicU64::new(0)).collect())
    }
}

impl RequestCounters {
    /// Counts a result that was sent to a caller.
    pub fn count_result(&self, code: ResultCode) {
        let index = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| self.results.0.get(index)) {
            counter.fetch_add(1, Relaxed);
        }
    }

    /// Number of results sent to callers, by code.
    pub fn results(&self) -> impl Iterator<Item = (ResultCode, u64)> + '_ {
        let counts = self.results.0.iter().map(|counter| counter.load(Relaxed));
        ResultCode::ALL.iter().copied().zip(counts)
    }
}
