//! Errors of measurements.

mod bench_error;

pub use bench_error::*;
