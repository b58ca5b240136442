//! Changes of server entries in the form that the leader sends to other hosts.

use {
    super::VersionedChange,
    bincode::{Decode, Encode},
    camphorcove_core::{
        fleet::ServerEntry,
        ids::{ServerId, StoreVersion},
    },
};

/// All changes of server entries between two versions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FleetUpdate {
    /// Version to which the update applies.
    pub from: StoreVersion,
    /// Version after the update.
    pub to: StoreVersion,
    /// Entries that are new or have changed.
    pub put: Vec<ServerEntry>,
    /// Servers whose entries were removed.
    pub removed: Vec<ServerId>,
}

impl VersionedChange for FleetUpdate {
    fn start_version(&self) -> StoreVersion {
        self.from
    }

    fn end_version(&self) -> StoreVersion {
        self.to
    }
}
