//! Copy of the operator's configuration, which the leader sends to hosts that lack it.

use {
    bincode::{Decode, Encode},
    camphorcove_core::ids::StoreVersion,
};

/// The newest configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigCopy {
    /// Version of its object in the store.
    pub version: StoreVersion,
    /// Content of the object, as JSON.
    pub text: String,
}
