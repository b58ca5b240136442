//! Error types of the daemon's startup.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Reason for rejecting a settings file. Each message is a single line and names the file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {reason}"))]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Message of the underlying error.
        reason: String,
    },
    /// The file is not TOML.
    #[snafu(display("{file}:{line}: not valid TOML: {reason}"))]
    NotToml {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Message of the TOML parser.
        reason: String,
    },
    /// The file contains a key that is not a setting.
    #[snafu(display("{file}:{line}: found unknown key {key:?}; allowed: {allowed}"))]
    UnknownKey {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Unknown key.
        key: String,
        /// Keys of all settings.
        allowed: String,
    },
    /// A required setting is missing.
    #[snafu(display("{file}:1: key {key} is missing; allowed: {allowed}"))]
    Missing {
        /// Path of the file.
        file: String,
        /// Key of the setting.
        key: &'static str,
        /// Allowed values.
        allowed: &'static str,
    },
    /// The value of a setting is not allowed.
    #[snafu(display("{file}:{line}: {key}: found {found}; allowed: {allowed}"))]
    WrongValue {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Key of the setting.
        key: &'static str,
        /// Value in the file.
        found: String,
        /// Allowed values.
        allowed: &'static str,
    },
}

/// Reason why the daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// The settings file is not valid.
    #[snafu(transparent)]
    Settings {
        /// Underlying error.
        source: SettingsError,
    },
    /// A key file cannot be read or its content is not valid.
    #[snafu(display("{file}:{line}: {what}"))]
    KeyFile {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Problem and, where applicable, the allowed content.
        what: String,
    },
    /// A listening socket cannot be opened.
    #[snafu(display("cannot listen for {listener} at {address}: {source}"))]
    Listen {
        /// Clients that the listener is for, such as `callers`.
        listener: &'static str,
        /// Listen address.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// A component of the process, such as the runtime or the log, failed to start.
    #[snafu(display("cannot start: {what}: {reason}"))]
    Start {
        /// Component that failed.
        what: &'static str,
        /// Message of the underlying error.
        reason: String,
    },
}

impl DaemonError {
    /// Exit code of the process: 2 for invalid settings or key files, 1 for other errors.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::KeyFile { .. } => 2,
            Self::Listen { .. } | Self::Start { .. } => 1,
        }
    }
}
