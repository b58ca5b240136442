//! Versions of the content of the platform's store.

use {
    bincode::{Decode, Encode},
    std::fmt,
};

/// Version of the store's content.
///
/// A store that is restored from a backup numbers its changes from the backup on, so a revision
/// alone does not tell which of two changes is newer. Versions are ordered by epoch first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreVersion {
    /// Rises each time that the store has lost writes.
    pub epoch: u64,
    /// Number of the change within the epoch; 0 is before the first change.
    pub revision: u64,
}

impl StoreVersion {
    /// Version of change `revision` in `epoch`.
    pub fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
