//! Errors that end a streamed body early.

use snafu::Snafu;

/// Error that ends a streamed body early. The receiver must see an aborted message, not a
/// complete one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyFault {
    /// The connection to the sender broke.
    #[snafu(display("connection to the sender broke before the body was complete"))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The body is longer than the service allows.
    #[snafu(display("body is larger than the service's limit"))]
    OverLimit,
    /// The sender stopped sending.
    #[snafu(display("sender of the body stalled"))]
    Stalled,
    /// The deadline passed before the body was complete.
    #[snafu(display("deadline passed before the body was complete"))]
    DeadlinePassed,
    /// A later attempt reads the body now.
    #[snafu(display("body is read by a later attempt"))]
    Superseded,
}
