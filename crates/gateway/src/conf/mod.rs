//! Reads and checks the settings file.

mod gateway_settings;

pub use gateway_settings::{GatewaySettings, read_settings};
