//! Faults that can be injected into the platform stand-in.

/// Faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub outage: bool,
    /// Calls are never answered and have no effect.
    pub silent: bool,
    /// Delay before each call, in milliseconds; a write takes effect after it
    /// even if the client has disconnected.
    pub delay_ms: u64,
    /// Watches report no changes.
    pub silent_watches: bool,
    /// Reads and lists return the state at the time this was switched on.
    pub stale_reads: bool,
    /// Number of next writes that take effect without being answered.
    pub lose_answers: u32,
    /// Writes to keys with this prefix take effect without being answered.
    pub lose_answers_prefix: Option<String>,
    /// Age of the host list returned, in milliseconds.
    pub host_lag_ms: u64,
    /// Parts before and after those of each list, watch and host list, as other writers may leave them.
    pub odd_parts: Vec<serde_json::Value>,
}
