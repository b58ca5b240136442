//! Behaviour of a backend stand-in, settable while it runs.

use std::time::Duration;

/// One hour, so that a host's time taken for a server's time is noticed.
const CLOCK_OFFSET_US: u64 = 3_600_000_000;

/// Speed of an ordinary server, in percent.
const ORDINARY_SPEED: u32 = 100;

/// Behaviour of a backend stand-in.
#[derive(Clone, Debug, PartialEq, Eq, clap::Args, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Does not check tokens and grants; honours deadlines only.
    #[arg(long)]
    pub unchecked: bool,
    /// Answers a repeated idempotency key without running it again.
    #[arg(long)]
    pub dedup: bool,
    /// Requests it runs at once; more are shed.
    #[arg(long, default_value_t = 3)]
    pub slots: u32,
    /// Connections it accepts; more are closed at once.
    #[arg(long, default_value_t = 120)]
    pub connections: u32,
    /// What its clock is ahead of the host's boot-time clock, in microseconds.
    #[arg(long, default_value_t = CLOCK_OFFSET_US)]
    pub clock_offset_us: u64,
    /// Time an ordinary server takes for a request, in microseconds.
    #[arg(long, default_value_t = 0)]
    pub service_us: u64,
    /// Speed in percent of an ordinary server; 0 counts as 1.
    #[arg(long, default_value_t = ORDINARY_SPEED)]
    pub speed: u32,
    /// Length of its cold start, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// How many times longer requests take during the cold start.
    #[arg(long, default_value_t = 10)]
    pub cold_factor: u32,
    /// Time it takes to answer a health probe, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub health_ms: u64,
    /// Reports that it drains and refuses requests that name no shard.
    #[arg(long)]
    pub draining: bool,
    /// Refuses every request.
    #[arg(long)]
    pub shed: bool,
    /// Accepts connections and answers nothing until this is withdrawn.
    #[arg(long)]
    pub frozen: bool,
    /// Age of the load it reports, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Readiness it reports instead of the true one.
    #[arg(long)]
    pub false_ready: Option<bool>,
    /// Load it reports instead of the true one.
    #[arg(long)]
    pub false_load: Option<u32>,
    /// Keeps no ledger, for benchmarks.
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
            speed: ORDINARY_SPEED,
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
    /// Time a request takes that is `work` long on an ordinary server.
    pub fn scaled(&self, work: Duration, cold: bool) -> Duration {
        let warm = work * ORDINARY_SPEED / self.speed.max(1);
        if cold { warm * self.cold_factor } else { warm }
    }
}
