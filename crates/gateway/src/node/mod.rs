//! Starts the tasks of a host and stops it on a signal.

mod run_host;
mod supervisor;

pub use {
    run_host::run_host,
    supervisor::{log_panics, supervise},
};
