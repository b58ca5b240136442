//! Why a measurement could not be made.

use snafu::Snafu;

/// Why a measurement could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// An option has a value that is not allowed.
    #[snafu(display("invalid {what} {text:?}: {reason}"))]
    InvalidOption {
        /// Option.
        what: &'static str,
        /// Rejected text.
        text: String,
        /// Rule that it breaks.
        reason: String,
    },
    /// A process did not start.
    #[snafu(display("{program} did not start: {reason}"))]
    NotStarted {
        /// Program.
        program: String,
        /// Cause.
        reason: String,
    },
    /// A state was not reached in time.
    #[snafu(display("not reached in time: {what}"))]
    NotReached {
        /// State.
        what: String,
    },
    /// A call to a process of the region failed.
    #[snafu(display("{what} failed: {reason}"))]
    CallFailed {
        /// Call.
        what: String,
        /// Cause.
        reason: String,
    },
    /// A signal ended the measurement.
    #[snafu(display("interrupted"))]
    Interrupted,
    /// A file could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    NotWritten {
        /// File.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
}
