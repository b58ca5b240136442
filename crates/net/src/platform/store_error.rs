//! Failures of platform calls.

use {camphorcove_core::ids::ObjectVersion, snafu::Snafu};

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The object has another version; nothing was written.
    #[snafu(display("object {key} has version {current:?}, not the expected one"))]
    Conflict {
        /// Object.
        key: String,
        /// Its version; `None` if it does not exist.
        current: Option<ObjectVersion>,
    },
    /// The platform cannot be reached or reports an outage; nothing was written.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Cause.
        reason: String,
    },
    /// No answer came; a write may have taken effect.
    #[snafu(display("platform did not answer, the call may have taken effect: {reason}"))]
    Unknown {
        /// Cause.
        reason: String,
    },
    /// The platform rejected the call, for example for the value's size.
    #[snafu(display("platform rejected the call: {reason}"))]
    Rejected {
        /// Cause.
        reason: String,
    },
}
