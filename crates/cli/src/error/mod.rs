//! Errors and exit codes.

mod cli_error;
mod exit_status;

pub use {cli_error::*, exit_status::ExitStatus};
