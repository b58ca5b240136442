//! Errors of the program's start.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Why the program cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum GatewayError {
    /// Wrong settings; the text is one line.
    #[snafu(display("{text}"))]
    Settings {
        /// File, line, key, what was found and what is allowed.
        text: String,
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
    #[snafu(display("cannot start {what}: {reason}"))]
    Start {
        /// Facility.
        what: &'static str,
        /// Cause.
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
