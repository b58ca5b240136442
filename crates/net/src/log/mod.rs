//! Logging: one JSON object a line on standard error or standard output.

mod json_log;
mod line_writer;

pub use json_log::{LogSetup, LogTarget, set_level, start};
