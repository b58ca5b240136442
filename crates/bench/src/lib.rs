//! Measurements of the router: a load generator, regions of real processes and
//! the experiments built on both.

pub mod error;
pub mod load;
pub mod report;
