//! Logging as one JSON object per line, on standard error or standard output.

mod json_log;
mod line_writer;

pub use json_log::{LogSetup, LogTarget, set_level, start};
