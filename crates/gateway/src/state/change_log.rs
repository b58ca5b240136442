//! Keeps recent changes by version, so that they can be sent again.

use {
    camphorcove_core::ids::StoreVersion,
    std::{collections::VecDeque, sync::Arc},
};

/// Number of changes kept for hosts that missed a datagram. It covers a few seconds of the
/// fastest rolling replacement of servers.
const MAX_CHANGES: usize = 32;

/// A change from one version to a later one.
pub trait VersionedChange {
    /// Version to which the change applies.
    fn start_version(&self) -> StoreVersion;
    /// Version after the change.
    fn end_version(&self) -> StoreVersion;
}

/// Recent consecutive changes, oldest first.
#[derive(Debug)]
pub struct ChangeLog<C> {
    changes: VecDeque<Arc<C>>,
}

impl<C> Default for ChangeLog<C> {
    fn default() -> Self {
        Self {
            changes: VecDeque::new(),
        }
    }
}

impl<C: VersionedChange> ChangeLog<C> {
    /// Adds a change. If it does not continue the last one, older changes are dropped.
    pub fn push(&mut self, change: C) {
        let continues = self.changes.back().is_some_and(|last| {
            change.start_version() <= last.end_version()
                && last.end_version() < change.end_version()
        });
        if !continues {
            self.changes.clear();
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Arc::new(change));
    }

    /// All changes after `version`, or none if the log does not reach back that far.
    pub fn since(&self, version: StoreVersion) -> Vec<Arc<C>> {
        let newer = self
            .changes
            .iter()
            .filter(|change| change.end_version() > version);
        let newer: Vec<_> = newer.cloned().collect();
        match newer.first() {
            Some(first) if first.start_version() <= version => newer,
            _ => Vec::new(),
        }
    }
}
