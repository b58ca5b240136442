//! Share of the requests for one key that its owner can take.

use {
    super::AdmittedShare,
    crate::ids::ServiceName,
    bincode::{Decode, Encode},
};

/// A key whose requests are more than its owner can take, and the share of them that may be sent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyShare {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// The key.
    pub key: u16,
    /// Share of its requests that each host lets through.
    pub share: AdmittedShare,
}
