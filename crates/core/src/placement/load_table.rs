//! Measured load of shards.

use crate::ids::ShardId;

/// Weight of the newest measurement in the moving average.
const SMOOTHING: f64 = 0.3;

/// Share of the mean rate that is added to each shard's load.
const BASE_SHARE: f64 = 0.1;

/// Load of a shard while nothing is measured; any equal value spreads shards evenly.
const SMALLEST_BASE: f64 = 1e-6;

/// Requests per second by shard, as a moving average.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rates: Vec<f64>,
    /// Added to each rate; kept here because it depends on all rates.
    base: f64,
    samples: u64,
}

impl LoadTable {
    /// Table for a number of shards, without measurements.
    pub fn new(shards: usize) -> Self {
        Self {
            rates: vec![0.0; shards],
            base: SMALLEST_BASE,
            samples: 0,
        }
    }

    /// Takes one measurement in; shards that are absent had no requests.
    pub fn observe(&mut self, rates: &[(ShardId, f64)]) {
        let share = if self.samples == 0 { 1.0 } else { SMOOTHING };
        self.samples += 1;
        for rate in &mut self.rates {
            *rate *= 1.0 - share;
        }
        for (shard, rate) in rates {
            let Some(slot) = self.rates.get_mut(shard.0 as usize) else {
                continue;
            };
            if rate.is_finite() && *rate > 0.0 {
                *slot += share * rate;
            }
        }
        let mean = self.rates.iter().sum::<f64>() / self.rates.len().max(1) as f64;
        self.base = f64::max(mean * BASE_SHARE, SMALLEST_BASE);
    }

    /// Measurements taken in.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Load of a shard in requests per second, with a small base for shards without requests.
    ///
    /// Without the base, shards that are idle now would all gather at one server.
    pub fn of(&self, shard: usize) -> f64 {
        self.rates.get(shard).copied().unwrap_or(0.0) + self.base
    }
}
