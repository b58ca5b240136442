//! Behaviour of a backend stand-in; can be changed while it runs.

use std::time::Duration;

/// Default clock offset: one hour, so that tests fail if a time on the host's clock
/// is used as a time on the server's clock.
const CLOCK_OFFSET_US: u64 = 3_600_000_000;

/// Speed in percent at which work takes its nominal time.
const NOMINAL_SPEED: u32 = 100;

/// Behaviour of a backend stand-in.
#[derive(Clone, Debug, PartialEq, Eq, clap::Args, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Skip checks of fencing tokens and grants; deadlines are still checked.
    #[arg(long)]
    pub unchecked: bool,
    /// Answer a request with a known idempotency key without running it again.
    #[arg(long)]
    pub dedup: bool,
    /// Maximum number of concurrent requests; further ones are refused as not run.
    #[arg(long, default_value_t = 3)]
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed at once.
    #[arg(long, default_value_t = 120)]
    pub connections: u32,
    /// How far the server's clock is ahead of the host's boot-time clock, in microseconds.
    #[arg(long, default_value_t = CLOCK_OFFSET_US)]
    pub clock_offset_us: u64,
    /// Service time of a request at speed 100, in microseconds.
    #[arg(long, default_value_t = 0)]
    pub service_us: u64,
    /// Speed in percent; 50 doubles the service time, 0 counts as 1.
    #[arg(long, default_value_t = NOMINAL_SPEED)]
    pub speed: u32,
    /// Duration of the cold start after a start or restart, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// Factor by which requests take longer during the cold start.
    #[arg(long, default_value_t = 10)]
    pub cold_factor: u32,
    /// Delay before a health probe is answered, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub health_ms: u64,
    /// Report that the server is draining, and refuse requests that name no shard.
    #[arg(long)]
    pub draining: bool,
    /// Refuse every request, as an overloaded server does.
    #[arg(long)]
    pub shed: bool,
    /// Accept connections, but answer nothing until this is switched off.
    #[arg(long)]
    pub frozen: bool,
    /// Age of the reported load, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Readiness to report instead of the actual one.
    #[arg(long)]
    pub false_ready: Option<bool>,
    /// Load to report instead of the actual one.
    #[arg(long)]
    pub false_load: Option<u32>,
    /// Do not record requests in the ledger, for benchmarks.
    #[arg(long)]
    pub no_ledger: bool,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            unchecked: false,
            dedup: false,
            slots: 3,
            connections: 120,
            clock_offset_us: CLOCK_OFFSET_US,
            service_us: 0,
            speed: NOMINAL_SPEED,
            cold_ms: 0,
            cold_factor: 10,
            health_ms: 0,
            draining: false,
            shed: false,
            frozen: false,
            report_lag_ms: 0,
            false_ready: None,
            false_load: None,
            no_ledger: false,
        }
    }
}

impl BackendSettings {
    /// Service time of a request that takes `work` at speed 100.
    pub fn scaled(&self, work: Duration, cold: bool) -> Duration {
        let warm = work * NOMINAL_SPEED / self.speed.max(1);
        if cold { warm * self.cold_factor } else { warm }
    }
}
