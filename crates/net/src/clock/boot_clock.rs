//! The boot-time clock and the wall clock of this host.

use {
    camphorcove_core::time::BootTime,
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads `CLOCK_BOOTTIME`, which, unlike `Instant`, advances while the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Time since the host booted, time in suspension included.
    pub fn now(self) -> BootTime {
        let timespec = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .unwrap_or_else(|error| unreachable!("CLOCK_BOOTTIME is always present: {error}"));
        let elapsed = Duration::from(timespec);
        BootTime::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Milliseconds since the Unix epoch, for logs and audit records only.
///
/// The wall clock may jump, so no decision may depend on it.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
