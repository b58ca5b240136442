//! Error type of the benchmarks.

use snafu::Snafu;

/// Reason why a benchmark could not run or finish.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// A command line option has an invalid value.
    #[snafu(display("invalid {what} {text:?}: {reason}"))]
    InvalidOption {
        /// Name of the option.
        what: &'static str,
        /// Value as it was given.
        text: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// A process of the region could not be started, or did not report its addresses.
    #[snafu(display("{program} did not start: {reason}"))]
    NotStarted {
        /// Path of the executable.
        program: String,
        /// Error of the operating system, or what the process printed.
        reason: String,
    },
    /// [`wait_for`](crate::region::wait_for) timed out.
    #[snafu(display("timed out waiting until {what}"))]
    WaitTimedOut {
        /// Condition that was not met, as a clause such as `host-0 listens`.
        what: String,
    },
    /// An HTTP call to a process of the region failed or was not answered with status 200.
    #[snafu(display("{what} failed: {reason}"))]
    CallFailed {
        /// Method and path, or purpose of the call.
        what: String,
        /// Transport error, unexpected status, or error in the answer.
        reason: String,
    },
    /// SIGINT or SIGTERM ended the benchmark.
    #[snafu(display("interrupted by SIGINT or SIGTERM"))]
    Interrupted,
    /// A file, directory or standard output could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    WriteFailed {
        /// Path, or `standard output`.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
