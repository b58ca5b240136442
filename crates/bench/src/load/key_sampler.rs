//! Random keys with skewed popularity.

use rand::{Rng, RngExt};

/// Draws keys by Zipf's law: the key of rank `r` has weight `r^-skew`.
#[derive(Clone, Debug)]
pub struct KeySampler {
    /// Sum of the weights up to and including each rank.
    cumulative: Vec<f64>,
}

impl KeySampler {
    /// Creates a sampler over `keys` keys (0 counts as 1); a skew of 0 makes them equally
    /// popular.
    pub fn new(keys: usize, skew: f64) -> Self {
        let mut cumulative = Vec::with_capacity(keys.max(1));
        let mut sum = 0.0;
        for rank in 1..=keys.max(1) {
            sum += (rank as f64).powf(-skew);
            cumulative.push(sum);
        }
        Self { cumulative }
    }

    /// Returns a random key's index; index 0 is the most popular.
    pub fn draw(&self, rng: &mut impl Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let point = rng.random::<f64>() * total;
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        index.min(self.cumulative.len() - 1)
    }
}
