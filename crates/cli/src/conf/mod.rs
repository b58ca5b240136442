//! Settings of the client: host addresses and signing key.

mod client_settings;
mod json_positions;

pub use {client_settings::ClientSettings, json_positions::JsonPositions};
