//! Changes of the assignment that a leader keeps, to send them again to hosts that missed them.

use {
    crate::{
        peers::{ElectorChange, OwnerChange, PeerMessage},
        state::VersionedChange,
    },
    camphorcove_core::{ids::StoreVersion, ownership::ElectorList},
};

/// One write of the assignment.
#[derive(Clone, Debug)]
pub(super) struct OwnerUpdate {
    /// What it changed, but for the electors.
    pub change: OwnerChange,
    /// Electors after it, if it replaced them.
    pub electors: Option<ElectorList>,
}

impl OwnerUpdate {
    /// The update as a message.
    pub fn message(&self) -> PeerMessage {
        let change = self.change.clone();
        match self.electors.clone() {
            Some(electors) => PeerMessage::Electors(ElectorChange { change, electors }),
            None => PeerMessage::Owners(change),
        }
    }
}

impl VersionedChange for OwnerUpdate {
    fn start_version(&self) -> StoreVersion {
        self.change.from
    }

    fn end_version(&self) -> StoreVersion {
        self.change.to
    }
}
