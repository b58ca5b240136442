//! Retries limited to a share of requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that each request earns: 10%.
const EARNED: i64 = 100;

/// Thousandths that one retry costs.
const COST: i64 = 1_000;

/// Most thousandths that can be saved up: 10 retries, so that a service with few
/// requests can retry at all while a burst stays small.
const SAVED_LIMIT: i64 = 10_000;

/// Retry budget of one service at one entry host.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: AtomicI64::new(SAVED_LIMIT),
        }
    }
}

impl RetryBudget {
    /// Counts a request that is not a retry.
    pub fn earn(&self) {
        if self.saved.load(Ordering::Relaxed) < SAVED_LIMIT {
            self.saved.fetch_add(EARNED, Ordering::Relaxed);
        }
    }

    /// Takes one retry; `false` if the budget is spent.
    pub fn take(&self) -> bool {
        let before = self.saved.fetch_sub(COST, Ordering::Relaxed);
        if before >= COST {
            return true;
        }
        self.saved.fetch_add(COST, Ordering::Relaxed);
        false
    }
}
