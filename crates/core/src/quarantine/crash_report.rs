//! Report that a server has crashed while it had a request.

use {
    super::RequestFingerprint,
    crate::{ids::ServerId, keys::KeyHash},
    bincode::{Decode, Encode},
    std::time::Duration,
};

value_type!(
    /// Identifies the crash of one run of a server process, at all hosts.
    CrashId(u64)
);

impl CrashId {
    /// Id of the crash of this run of a server.
    pub fn of(server: &ServerId, incarnation: u64) -> Self {
        let hash = KeyHash::of(server.as_str().as_bytes()).0;
        Self(hash ^ incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// A request that a server had when it crashed. Times are ages, as hosts have different clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashReport {
    /// Request that the server had.
    pub request: RequestFingerprint,
    /// Crash of the server.
    pub crash: CrashId,
    /// Time since the request was sent to the server.
    pub sent_ago: Duration,
    /// Time since the server crashed.
    pub crashed_ago: Duration,
}
