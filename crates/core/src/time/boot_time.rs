//! Readings of a boot-time clock.

use {
    super::CLOCK_DRIFT_PPM,
    std::{
        fmt,
        ops::{Add, AddAssign},
        time::Duration,
    },
};

/// Microseconds since the host booted, time in suspension included.
///
/// Comparable only with readings of the same clock.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct BootTime(pub u64);

impl BootTime {
    /// Instant `micros` microseconds after boot.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Instant `millis` milliseconds after boot.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Whole milliseconds since boot.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time from `earlier` to this instant, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// This instant moved back by `span`, not before boot.
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl AddAssign<Duration> for BootTime {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Extends a period by the drift bound.
///
/// When the extended period has passed on one clock, the period has passed on every other clock.
pub fn with_drift(span: Duration) -> Duration {
    let drift = micros(span) / 1_000_000 * u64::from(CLOCK_DRIFT_PPM)
        + (micros(span) % 1_000_000 * u64::from(CLOCK_DRIFT_PPM)).div_ceil(1_000_000);
    span + Duration::from_micros(drift)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
