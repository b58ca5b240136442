//! Clocks that drift, with an offset of their own.

use camphorcove_core::time::BootTime;

/// Drift of a fast or slow clock; a fast and a slow one differ by just under the bound.
pub const DRIFT_PPM: i64 = 2_490;

/// A clock read at a true time in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct DriftClock {
    pub offset: u64,
    pub ppm: i64,
}

impl DriftClock {
    pub fn read(&self, micros: u64) -> BootTime {
        let drift = i128::from(micros) * i128::from(self.ppm) / 1_000_000;
        BootTime(self.offset + u64::try_from(i128::from(micros) + drift).unwrap())
    }
}
