//! Why the quick start did not run.

use {
    camphorcove_net::config::RepoError,
    camphorcoved::error::DaemonError,
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Why the quick start did not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DemoError {
    /// A stand-in did not start.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A key file was not written.
    #[snafu(display("cannot write the keys in {folder}: {source}"))]
    Keys {
        /// Folder for the files.
        folder: String,
        /// Cause.
        source: io::Error,
    },
    /// The example was not accepted.
    #[snafu(display("cannot apply the example region: {source}"))]
    Apply {
        /// Cause.
        source: RepoError,
    },
    /// The router stopped with an error.
    #[snafu(display("{source}"))]
    Router {
        /// Cause.
        source: DaemonError,
    },
}
