//! Faults of the simulation.

use std::time::Duration;

/// Faults that the simulation injects.
#[derive(Clone, Copy, Debug)]
pub struct SimFaults {
    /// Share of orders that get no answer and are carried out 2 to 12 s after they were sent.
    pub late_orders: f64,
    /// Share of orders that never arrive.
    pub lost_orders: f64,
    /// Probability of a new fault in each step.
    pub fault_chance: f64,
    /// Factor by which leases last longer on the servers, whose clocks are slow.
    pub slow_clock: f64,
    /// Longest time until the store applies a write, and from then until its answer arrives.
    pub write_delay: Duration,
    /// Probability that another program writes an entry, or that leaders see an older copy of the
    /// entries, in each step.
    pub entry_chance: f64,
    /// Probability in each step that a server ends, and one starts at its address or under its id.
    pub end_chance: f64,
    /// Share of answers on kept connections before which servers write one that belongs to no order.
    pub extra_answers: f64,
    /// Share of releases that find work on their keys and are answered when it has ended.
    pub work_chance: f64,
}

impl SimFaults {
    /// Slow clocks, and no faults.
    pub fn slow_clocks_only() -> Self {
        Self {
            late_orders: 0.0,
            lost_orders: 0.0,
            fault_chance: 0.0,
            slow_clock: 1.02,
            write_delay: Duration::from_millis(5),
            entry_chance: 0.0,
            end_chance: 0.0,
            extra_answers: 0.0,
            work_chance: 0.0,
        }
    }
}
