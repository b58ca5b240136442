//! Changes of servers as hosts pass them on.

use {
    super::Revised,
    bincode::{Decode, Encode},
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
};

/// All changes of servers between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FleetUpdate {
    /// Revision that it starts from.
    pub from: u64,
    /// Revision that it leads to.
    pub to: u64,
    /// Entries that are new or have changed.
    pub put: Vec<ServerEntry>,
    /// Servers whose entries were removed.
    pub removed: Vec<ServerId>,
}

impl Revised for FleetUpdate {
    fn start(&self) -> u64 {
        self.from
    }

    fn end(&self) -> u64 {
        self.to
    }
}
