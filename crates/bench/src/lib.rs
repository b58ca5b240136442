//! Benchmarks of the router.
//!
//! - [`load`] generates open-loop load against running hosts.
//! - [`region`] starts a region on this machine: real daemons, and simulated
//!   backend servers and a simulated platform (stand-ins) as processes.
//! - [`experiments`] measures such regions; [`report`] prints the results.
//! - [`slopes`] measures the control plane's state machine in this process.

pub mod error;
pub mod experiments;
pub mod load;
pub mod region;
pub mod report;
pub mod slopes;
