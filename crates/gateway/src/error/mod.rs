//! Why the program cannot start.

mod gateway_error;

pub use gateway_error::{GatewayError, ListenSnafu, SettingsSnafu, StartSnafu};
