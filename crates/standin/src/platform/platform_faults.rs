//! Faults that the platform stand-in shows on request.

/// Faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub outage: bool,
    /// Calls get no answer and have no effect.
    pub silent: bool,
    /// Delay before each call, in milliseconds; a write takes effect after it
    /// even if its caller has gone.
    pub delay_ms: u64,
    /// Watches see no changes.
    pub silent_watches: bool,
    /// Reads and lists show the state of the moment this was set.
    pub stale_reads: bool,
    /// The next writes that take effect lose their answer.
    pub lose_answers: u32,
    /// Writes to keys with this prefix take effect and lose their answer.
    pub lose_answers_prefix: Option<String>,
    /// Age of the host list shown, in milliseconds.
    pub host_lag_ms: u64,
}
