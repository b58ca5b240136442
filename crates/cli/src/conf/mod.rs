//! Settings of the client: host addresses and signing key.

mod client_settings;

pub use client_settings::ClientSettings;
