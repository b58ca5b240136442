//! Limits the memory that buffered request bodies take.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bodies may take one part in this many of the process's memory. The rest is for socket
/// buffers, answers and everything else.
const MEMORY_DIVISOR: u64 = 4;

/// Memory of all buffered bodies together.
#[derive(Debug)]
pub struct BodyBudget {
    used: AtomicUsize,
    limit: usize,
}

/// Memory of one body, released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates the budget of a process with this much memory.
    pub fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR;
        Self {
            used: AtomicUsize::new(0),
            limit: usize::try_from(bytes).unwrap_or(usize::MAX),
        }
    }

    /// Starts an empty reservation for one body.
    pub fn start_reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Reserves more bytes for the body; `false` if the budget is exceeded.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.budget.limit
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
