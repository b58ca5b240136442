//! Failures between peers.

use snafu::Snafu;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// Nothing of the message was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// Sent, but no whole answer came; the peer may have acted on it.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// Cause.
        reason: String,
    },
    /// The peer refused the message without acting on it.
    #[snafu(display("refused by the peer with HTTP status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// A frame could not be read.
    #[snafu(display("malformed frame: {what}"))]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
    /// A frame is larger than [`FRAME_BYTES_MAX`](super::FRAME_BYTES_MAX).
    #[snafu(display("frame larger than the limit of {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The code does not match, or the message is a replay.
    #[snafu(display("authentication failed: {what}"))]
    Unauthentic {
        /// What failed.
        what: &'static str,
    },
}
