//! Shared handles of one host's request path.

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
    pub dedup_ids: usize,
    /// No host of the region served within the window before this process started, so
    /// keys are known to be new at once. Wrong use can run a request twice.
    pub dedup_first_start: bool,
    /// Seed of server choice and retry jitter.
    pub seed: u64,
}

impl Default for RequestTuning {
    fn default() -> Self {
        Self {
            dedup_window: Duration::from_secs(120),
            dedup_ids: 1 << 18,
            dedup_first_start: false,
            seed: 0,
        }
    }
}

/// Handles that every part of the request path needs; cheap to clone.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// This host.
    pub host: HostId,
    /// Routing maps.
    pub maps: MapStore,
    /// Configuration and live hosts.
    pub configs: ConfigStore,
    /// Clocks of backend servers.
    pub clocks: ClockTable,
    /// This host's clock.
    pub clock: BootClock,
    /// Key shared by all hosts of the region.
    pub key: PeerKey,
    /// Counters read by the metrics.
    pub counters: Arc<RequestCounters>,
    /// Settings.
    pub tuning: RequestTuning,
}
