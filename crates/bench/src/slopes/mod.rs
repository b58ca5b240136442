//! Cost of the control plane as the sizes grow.
//!
//! Each experiment measures one slope on this machine. The report fits a line
//! to the points and extrapolates to the target size.

mod linear_fit;
mod scope_driver;
mod slope_report;

pub use slope_report::write_report;
