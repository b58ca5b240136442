//! Requests per key, fading with time.

use {
    super::{KeyRange, LAST_KEY},
    crate::time::BootTime,
    std::time::Duration,
};

/// Time after which a count is worth half: long enough for a steady picture from
/// some hundred requests, short enough to see a new hot key within two seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Interval of the fading.
const FADE_INTERVAL: Duration = Duration::from_millis(250);

/// Load of one service by key.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    counts: Vec<f32>,
    faded_at: BootTime,
}

impl RangeLoad {
    /// No load.
    pub fn new(now: BootTime) -> Self {
        Self {
            counts: vec![0.0; usize::from(LAST_KEY) + 1],
            faded_at: now,
        }
    }

    /// Count that a steady rate of `per_second` requests settles at.
    pub fn steady_count(per_second: f32) -> f32 {
        per_second * HALF_LIFE.as_secs_f32() / std::f32::consts::LN_2
    }

    /// Counts requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        // Counts stay far below the 24 bits that f32 holds exactly.
        self.counts[usize::from(key)] += requests as f32;
    }

    /// Lets old counts fade.
    pub fn decay(&mut self, now: BootTime) {
        let passed = now.since(self.faded_at);
        if passed < FADE_INTERVAL {
            return;
        }
        self.faded_at = now;
        let factor = 0.5_f32.powf(passed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        for count in &mut self.counts {
            if *count == 0.0 {
                continue;
            }
            *count *= factor;
            if *count < 0.01 {
                *count = 0.0;
            }
        }
    }

    /// Load of a range.
    pub fn of(&self, range: KeyRange) -> f32 {
        self.keys(range).iter().sum()
    }

    /// Loads of the keys of a range.
    pub fn keys(&self, range: KeyRange) -> &[f32] {
        &self.counts[usize::from(range.first)..=usize::from(range.last)]
    }
}
