//! Settings of the client.

mod client_settings;

pub use client_settings::ClientSettings;
