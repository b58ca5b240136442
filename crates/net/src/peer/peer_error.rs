//! Errors of the peer protocol, distinguished by whether the peer may have acted.

use snafu::Snafu;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// No part of the message was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Error of the connection or of the session set-up.
        reason: String,
    },
    /// Sent, but no complete response arrived; the peer may have acted on the message.
    #[snafu(display("no answer: {reason}"))]
    NoResponse {
        /// Error of the connection, or the timeout.
        reason: String,
    },
    /// The peer refused the message with an error status and did not act on it.
    #[snafu(display("refused by the peer with HTTP status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// A frame or message could not be decoded.
    #[snafu(display("malformed frame: {what}"))]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
    /// A frame exceeds its limit, at most [`FRAME_BYTES_MAX`](super::FRAME_BYTES_MAX).
    #[snafu(display("frame larger than the limit of {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// Authentication failed: wrong MAC, replayed message, wrong session or wrong sender.
    #[snafu(display("authentication failed: {what}"))]
    AuthenticationFailed {
        /// The check that failed.
        what: &'static str,
    },
}
