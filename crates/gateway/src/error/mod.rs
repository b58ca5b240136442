//! Errors that keep the program from starting.

mod gateway_error;

pub use gateway_error::{GatewayError, ListenSnafu, SettingsSnafu, StartSnafu};
