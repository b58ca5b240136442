//! Bounds the memory of request bodies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Part of the process's memory that bodies may take: buffers of sockets, answers and
/// everything else have the rest.
const MEMORY_DIVISOR: u64 = 4;

/// Bytes of all bodies that are kept.
#[derive(Debug)]
pub struct BodyBudget {
    used: AtomicUsize,
    limit: usize,
}

/// Bytes of one body, given back when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Budget of a process with this much memory.
    pub fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR;
        Self {
            used: AtomicUsize::new(0),
            limit: usize::try_from(bytes).unwrap_or(usize::MAX),
        }
    }

    /// Begins a body.
    pub fn begin(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Takes more bytes; `false` if bodies take too much memory.
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
