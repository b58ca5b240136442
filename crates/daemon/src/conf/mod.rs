//! Settings of the daemon, read once at startup from a TOML file.

mod daemon_settings;
mod setting_specs;
mod settings_reader;

pub use {
    daemon_settings::DaemonSettings,
    setting_specs::{SETTINGS, SettingSpec},
    settings_reader::{parse, read},
};
