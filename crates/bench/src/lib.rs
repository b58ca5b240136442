//! Measurements of the router: a load generator, regions of real processes and
//! the experiments built on both.

pub mod error;
pub mod experiments;
pub mod load;
pub mod region;
pub mod report;
pub mod slopes;
