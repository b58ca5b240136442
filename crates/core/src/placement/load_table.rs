//! Measured request rate of each shard, smoothed over time.

use crate::ids::ShardId;

/// Weight of the newest measurement in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Fraction of the mean rate that is added to each shard's load.
const BASE_LOAD_FRACTION: f64 = 0.1;

/// Load of a shard before the first measurement. Any value above zero does: with equal loads
/// the planner spreads shards evenly.
const MIN_BASE_LOAD: f64 = 1e-6;

/// Request rate of each shard in requests per second, as an exponential moving average.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rates: Vec<f64>,
    /// Load added to each rate. Stored because it depends on the rates of all shards.
    base_load: f64,
    samples: u64,
}

impl LoadTable {
    /// Creates a table for `shards` shards, without measurements.
    pub fn new(shards: usize) -> Self {
        Self {
            rates: vec![0.0; shards],
            base_load: MIN_BASE_LOAD,
            samples: 0,
        }
    }

    /// Adds one measurement. Shards missing from `rates` received no requests.
    pub fn observe(&mut self, rates: &[(ShardId, f64)]) {
        let factor = if self.samples == 0 {
            1.0
        } else {
            SMOOTHING_FACTOR
        };
        self.samples += 1;
        for rate in &mut self.rates {
            *rate *= 1.0 - factor;
        }
        for (shard, rate) in rates {
            let Some(average) = self.rates.get_mut(shard.0 as usize) else {
                continue;
            };
            if rate.is_finite() && *rate > 0.0 {
                *average += factor * rate;
            }
        }
        let mean = self.rates.iter().sum::<f64>() / self.rates.len().max(1) as f64;
        self.base_load = f64::max(mean * BASE_LOAD_FRACTION, MIN_BASE_LOAD);
    }

    /// Number of measurements added so far.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Load of a shard in requests per second: its average rate plus the base load.
    ///
    /// Without the base load, idle shards would cost nothing and all of them could end up on
    /// one server.
    pub fn load_of(&self, shard: usize) -> f64 {
        self.rates.get(shard).copied().unwrap_or(0.0) + self.base_load
    }
}
