//! Growth of the control plane's cost with its size.
//!
//! Each experiment varies one size, such as the number of servers, and measures
//! the cost in this process, without sockets. The report fits a line to the
//! points; its slope is the cost per server, shard, host or scope, by which the
//! cost of a larger region can be extrapolated.

mod linear_fit;
mod scope_simulation;
mod slope_report;

pub use slope_report::write_report;
