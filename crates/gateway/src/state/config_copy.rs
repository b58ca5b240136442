//! Copy of the operator's configuration, which the leader sends to hosts that lack it.

use bincode::{Decode, Encode};

/// The newest configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigCopy {
    /// Revision of its object in the store.
    pub revision: u64,
    /// Content of the object, as JSON.
    pub text: String,
}
