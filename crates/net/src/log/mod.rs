//! Logging: one JSON object a line on standard error.

mod json_log;

pub use json_log::{LogSetup, set_level, start};
