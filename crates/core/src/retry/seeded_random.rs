//! Lock-free generator of reproducible random numbers.

use std::sync::atomic::{AtomicU64, Ordering};

/// Increment of the SplitMix64 generator: 2^64 divided by the golden ratio, made odd.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// SplitMix64 generator with an atomic state. The same seed gives the same sequence.
#[derive(Debug)]
pub struct SeededRandom {
    state: AtomicU64,
}

impl SeededRandom {
    /// Creates a generator with the given seed.
    pub const fn new(seed: u64) -> Self {
        Self {
            state: AtomicU64::new(seed),
        }
    }

    /// Returns the next number, uniformly distributed over all of `u64`.
    pub fn draw(&self) -> u64 {
        let state = self.state.fetch_add(GOLDEN_GAMMA, Ordering::Relaxed);
        let mut mixed = state.wrapping_add(GOLDEN_GAMMA);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
