//! Error type of the start, with the exit code.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Why the program cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum GatewayError {
    /// The settings file is missing or wrong; the message is one line.
    #[snafu(display("{text}"))]
    Settings {
        /// File, line, key, what was found and what is allowed.
        text: String,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen for {listener} at {address}: {source}"))]
    Listen {
        /// Settings key of the listener.
        listener: &'static str,
        /// Address from the settings file.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The runtime, the log or a signal handler could not be set up.
    #[snafu(display("cannot start {what}: {reason}"))]
    Start {
        /// What could not be set up.
        what: &'static str,
        /// Message of the underlying error.
        reason: String,
    },
}

impl GatewayError {
    /// Exit code of the process: 2 for wrong settings, 1 for anything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } => 2,
            Self::Listen { .. } | Self::Start { .. } => 1,
        }
    }
}
