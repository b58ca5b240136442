//! How far this host has followed the store, and how far other hosts have.
//!
//! A watch whose connection went silent looks like a store without changes. Hosts
//! therefore tell each other the newest change that they saw of each kind; a host
//! that is behind reads the kind anew.

use bincode::{Decode, Encode};

/// Kinds of objects that a host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKind {
    /// The operator's configuration.
    Config,
    /// Entries of servers.
    Fleet,
    /// Assignment of keys.
    Owners,
}

/// Revisions that one answer of the store covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionSpan {
    /// Where it starts.
    pub from: u64,
    /// Through which the kind is known now.
    pub through: u64,
    /// Newest change in it; 0 if there is none.
    pub newest: u64,
}

/// Revision of the newest change seen, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SeenRevisions {
    config: u64,
    fleet: u64,
    owners: u64,
}

impl SeenRevisions {
    /// Newest revision of a kind.
    pub fn get(&self, kind: StoreKind) -> u64 {
        match kind {
            StoreKind::Config => self.config,
            StoreKind::Fleet => self.fleet,
            StoreKind::Owners => self.owners,
        }
    }

    /// Raises the revision of a kind; an older one is ignored.
    pub fn advance(&mut self, kind: StoreKind, revision: u64) {
        let mark = match kind {
            StoreKind::Config => &mut self.config,
            StoreKind::Fleet => &mut self.fleet,
            StoreKind::Owners => &mut self.owners,
        };
        *mark = revision.max(*mark);
    }

    /// Raises each revision to that of `other` where that is newer.
    pub fn merge(&mut self, other: &Self) {
        for kind in [StoreKind::Config, StoreKind::Fleet, StoreKind::Owners] {
            self.advance(kind, other.get(kind));
        }
    }
}
