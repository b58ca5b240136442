//! Errors of platform calls, distinguished by whether a write may have taken effect.

use {camphorcove_core::ids::ObjectVersion, snafu::Snafu};

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The object has another version; nothing was written.
    #[snafu(display("object {key} has version {current:?}, not the expected one"))]
    Conflict {
        /// Key of the object.
        key: String,
        /// Current version; `None` if the object does not exist.
        current: Option<ObjectVersion>,
    },
    /// The platform cannot be reached or reports an outage; nothing was written.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Cause, as reported by the connection or by the platform.
        reason: String,
    },
    /// No conclusive response arrived; a write may have taken effect or may do so later.
    #[snafu(display("platform did not answer, the call may have taken effect: {reason}"))]
    Unknown {
        /// Why there is no conclusive response.
        reason: String,
    },
    /// The platform rejected the call, for example because the value is too large.
    #[snafu(display("platform rejected the call: {reason}"))]
    Rejected {
        /// Why the call was rejected.
        reason: String,
    },
}
