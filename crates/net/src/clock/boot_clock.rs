//! The boot-time clock of this host.

use {
    camphorcove_core::time::BootTime,
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads `CLOCK_BOOTTIME`, which counts suspension, unlike `Instant`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Current time.
    pub fn now(self) -> BootTime {
        let spec = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .unwrap_or_else(|error| unreachable!("CLOCK_BOOTTIME is always present: {error}"));
        let elapsed = Duration::from(spec);
        BootTime::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Wall-clock milliseconds since 1970, for logs and audit records only.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
