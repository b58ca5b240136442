//! Why the daemon cannot start.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// A settings file that is refused; its text is one line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {reason}"))]
    Unreadable {
        /// File.
        file: String,
        /// Cause.
        reason: String,
    },
    /// The file is not TOML.
    #[snafu(display("{file}:{line}: not valid TOML: {reason}"))]
    NotToml {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Parser's reason.
        reason: String,
    },
    /// A key is not a setting.
    #[snafu(display("{file}:{line}: found unknown key {key:?}; allowed: {allowed}"))]
    UnknownKey {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Key.
        key: String,
        /// All keys.
        allowed: String,
    },
    /// A required key is missing.
    #[snafu(display("{file}:1: key {key} is missing; allowed: {allowed}"))]
    Missing {
        /// File.
        file: String,
        /// Key.
        key: &'static str,
        /// Allowed values.
        allowed: &'static str,
    },
    /// A value is not allowed.
    #[snafu(display("{file}:{line}: {key}: found {found}; allowed: {allowed}"))]
    WrongValue {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Key.
        key: &'static str,
        /// The value.
        found: String,
        /// Allowed values.
        allowed: &'static str,
    },
}

/// Why the daemon cannot start or had to end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// Wrong settings.
    #[snafu(transparent)]
    Settings {
        /// Cause.
        source: SettingsError,
    },
    /// A key file's content is wrong.
    #[snafu(display("{file}:{line}: {what}"))]
    KeyFile {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What is wrong and what is allowed.
        what: String,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen for {listener} at {address}: {source}"))]
    Listen {
        /// Which listener.
        listener: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A facility of the process failed.
    #[snafu(display("cannot start: {what}: {reason}"))]
    Start {
        /// Facility.
        what: &'static str,
        /// Cause.
        reason: String,
    },
}

impl DaemonError {
    /// Exit code of the process: 2 for wrong settings, 1 for anything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::KeyFile { .. } => 2,
            Self::Listen { .. } | Self::Start { .. } => 1,
        }
    }
}
