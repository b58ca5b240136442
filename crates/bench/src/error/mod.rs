//! Errors of the benchmarks.

mod bench_error;

pub use bench_error::*;
