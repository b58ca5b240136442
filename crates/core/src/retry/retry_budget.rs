//! Limits retries to a fraction of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that each request earns: one retry per ten requests.
const EARNED_PER_REQUEST: i64 = 100;

/// Thousandths that one retry takes from the budget.
const RETRY_COST: i64 = 1_000;

/// Maximum balance in thousandths: 10 retries. A service with few requests can still retry, while
/// bursts of retries stay small.
const MAX_BALANCE: i64 = 10_000;

/// Retry budget of one service on one entry host.
///
/// Starts with the maximum balance.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(MAX_BALANCE),
        }
    }
}

impl RetryBudget {
    /// Adds what one request earns. Call it for each request that is not a retry.
    pub fn earn(&self) {
        if self.balance.load(Ordering::Relaxed) < MAX_BALANCE {
            self.balance
                .fetch_add(EARNED_PER_REQUEST, Ordering::Relaxed);
        }
    }

    /// Takes one retry from the budget. Returns `false` if the balance is too low.
    pub fn take(&self) -> bool {
        let before = self.balance.fetch_sub(RETRY_COST, Ordering::Relaxed);
        if before >= RETRY_COST {
            return true;
        }
        self.balance.fetch_add(RETRY_COST, Ordering::Relaxed);
        false
    }
}
