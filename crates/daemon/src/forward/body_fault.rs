//! Why a streamed body broke off.

use snafu::Snafu;

/// Why a streamed body broke off. The receiver must see an aborted message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyFault {
    /// The connection to the sender broke.
    #[snafu(display("the sender's body broke off"))]
    Broken {
        /// Transport's reason.
        source: hyper::Error,
    },
    /// The body is longer than the service allows.
    #[snafu(display("the body is over the limit"))]
    OverLimit,
    /// The sender stopped sending.
    #[snafu(display("the sender of the body stalled"))]
    Stalled,
    /// The deadline passed before the body was complete.
    #[snafu(display("the deadline passed before the body was complete"))]
    DeadlinePassed,
    /// Another attempt took the body over.
    #[snafu(display("another attempt took the body over"))]
    Superseded,
}
