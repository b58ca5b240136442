//! Shared handles and settings of one host's request path.

use {
    super::RequestCounters,
    crate::maps::{ConfigStore, MapStore},
    camphorcove_core::ids::HostId,
    camphorcove_net::{clock::BootClock, peer::PeerKey, servers::ClockTable},
    std::{sync::Arc, time::Duration},
};

/// Settings of the request path that are not part of a service's file.
#[derive(Clone, Copy, Debug)]
pub struct RequestTuning {
    /// How long an idempotency key is remembered after its request ended.
    pub dedup_window: Duration,
    /// Idempotency keys remembered per service.
    pub dedup_keys: usize,
    /// Asserts that no host of the region served requests within `dedup_window` before this process
    /// started, so that unknown idempotency keys count as new at once. If that is not so, a
    /// request can run twice.
    pub dedup_assume_no_history: bool,
    /// Seed of the random numbers for server choice and retry jitter.
    pub seed: u64,
}

impl Default for RequestTuning {
    fn default() -> Self {
        Self {
            dedup_window: Duration::from_secs(120),
            dedup_keys: 1 << 18,
            dedup_assume_no_history: false,
            seed: 0,
        }
    }
}

/// Handles that every part of the request path needs; cheap to clone.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Id of this host.
    pub host: HostId,
    /// Routing maps that this host holds.
    pub maps: MapStore,
    /// Configuration and live hosts.
    pub configs: ConfigStore,
    /// Latest clock readings of backend servers.
    pub clocks: ClockTable,
    /// Monotonic clock of this host.
    pub clock: BootClock,
    /// Key that all hosts of the region share, for requests between them.
    pub key: PeerKey,
    /// Counters for the metrics.
    pub counters: Arc<RequestCounters>,
    /// Settings of the request path.
    pub tuning: RequestTuning,
}
