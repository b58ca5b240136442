//! Exponentially decaying request counts per key.

use {
    super::{KeyRange, LAST_KEY},
    crate::time::BootTime,
    std::time::Duration,
};

/// Half-life of a count: long enough for a steady estimate from a few hundred requests,
/// short enough to detect a new hot key within two seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Shortest interval between two decays of the counts.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Recent requests of one service, counted per key.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    counts: Vec<f32>,
    decayed_at: BootTime,
}

impl RangeLoad {
    /// Creates counts of zero for all keys.
    pub fn new(now: BootTime) -> Self {
        Self {
            counts: vec![0.0; usize::from(LAST_KEY) + 1],
            decayed_at: now,
        }
    }

    /// Value to which a count converges at a constant rate of `per_second` requests.
    pub fn steady_count(per_second: f32) -> f32 {
        per_second * HALF_LIFE.as_secs_f32() / std::f32::consts::LN_2
    }

    /// Adds `requests` to the count of `key`.
    pub fn add(&mut self, key: u16, requests: u32) {
        // Counts stay far below 2^24, up to which f32 represents integers exactly.
        self.counts[usize::from(key)] += requests as f32;
    }

    /// Decays all counts by the time since the last decay; does nothing within
    /// `DECAY_INTERVAL` of it.
    pub fn decay(&mut self, now: BootTime) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
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

    /// Sum of the counts of the keys in `range`.
    pub fn of(&self, range: KeyRange) -> f32 {
        self.keys(range).iter().sum()
    }

    /// Counts of the keys in `range`, in key order.
    pub fn keys(&self, range: KeyRange) -> &[f32] {
        &self.counts[usize::from(range.first)..=usize::from(range.last)]
    }
}
