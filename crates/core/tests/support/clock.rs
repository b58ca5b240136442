//! Simulated clocks with an offset and a drift.

use camphorcove_core::time::BootTime;

/// Drift of a fast or slow clock, in parts per million.
///
/// A fast and a slow clock drift apart by 4,980 ppm, just under the bound of
/// [`CLOCK_DRIFT_PPM`](camphorcove_core::time::CLOCK_DRIFT_PPM).
pub const DRIFT_PPM: i64 = 2_490;

/// A clock that shows true time plus `offset` microseconds and `ppm` parts per million of drift.
#[derive(Clone, Copy, Debug)]
pub struct DriftClock {
    pub offset: u64,
    pub ppm: i64,
}

impl DriftClock {
    /// Reading of the clock at `micros`, the true time in microseconds.
    pub fn read(&self, micros: u64) -> BootTime {
        let drift = i128::from(micros) * i128::from(self.ppm) / 1_000_000;
        BootTime(self.offset + u64::try_from(i128::from(micros) + drift).unwrap())
    }
}
