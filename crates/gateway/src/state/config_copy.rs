//! Copy of the operator's configuration, which the leader sends to hosts that lack it.

use {
    bincode::{Decode, Encode},
    camphorcove_core::ids::{ConfigVersion, StoreVersion},
};

/// The newest configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigCopy {
    /// Version of its object in the store.
    pub version: StoreVersion,
    /// Version that the operator has given it, which rises even if the store loses writes.
    pub config_version: ConfigVersion,
    /// Content of the object, as JSON.
    pub text: String,
}
