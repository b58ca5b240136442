//! Errors of the quick start.

use {
    camphorcove_net::config::RepoError,
    camphorcoved::error::DaemonError,
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Error of the quick start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DemoError {
    /// A stand-in could not listen on its address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The key files could not be written.
    #[snafu(display("cannot write the keys in {directory}: {source}"))]
    Keys {
        /// Directory for the key files.
        directory: String,
        /// Underlying error.
        source: io::Error,
    },
    /// The example configuration is invalid or could not be applied.
    #[snafu(display("cannot apply the example region: {source}"))]
    Apply {
        /// Underlying error.
        source: RepoError,
    },
    /// The router stopped with an error.
    #[snafu(display("{source}"))]
    Router {
        /// Underlying error.
        source: DaemonError,
    },
}
