//! Reproducible random numbers without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

/// Step of the SplitMix64 generator.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// SplitMix64 over an atomic counter: the same seed gives the same sequence.
#[derive(Debug)]
pub struct SeededRandom {
    state: AtomicU64,
}

impl SeededRandom {
    /// Generator from a seed.
    pub const fn new(seed: u64) -> Self {
        Self {
            state: AtomicU64::new(seed),
        }
    }

    /// Next number.
    pub fn draw(&self) -> u64 {
        let state = self.state.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut mixed = state.wrapping_add(GOLDEN_STEP);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
