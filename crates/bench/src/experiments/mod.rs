//! Experiments on regions that run as processes.

mod balance;
mod capacity;
mod closed_loop;
mod cost;
mod failover;
mod gap_probe;

pub use {
    balance::BalanceOptions,
    capacity::CapacityOptions,
    cost::CostOptions,
    failover::FailoverOptions,
    gap_probe::{GapProbe, KeyGap},
};
