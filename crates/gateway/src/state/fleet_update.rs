//! Changes of server entries in the form that the leader sends to other hosts.

use {
    super::RevisionedChange,
    bincode::{Decode, Encode},
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
};

/// All changes of server entries between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FleetUpdate {
    /// Revision to which the update applies.
    pub from: u64,
    /// Revision after the update.
    pub to: u64,
    /// Entries that are new or have changed.
    pub put: Vec<ServerEntry>,
    /// Servers whose entries were removed.
    pub removed: Vec<ServerId>,
}

impl RevisionedChange for FleetUpdate {
    fn start_revision(&self) -> u64 {
        self.from
    }

    fn end_revision(&self) -> u64 {
        self.to
    }
}
