//! Settings of the program.

mod gateway_settings;

pub use gateway_settings::{GatewaySettings, read_settings};
