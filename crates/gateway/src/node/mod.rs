//! Starts and stops the tasks of a host.

mod run_host;

pub use run_host::run_host;
