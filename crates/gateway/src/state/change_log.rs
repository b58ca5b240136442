//! Keeps recent changes by revision, so that they can be sent again.

use std::{collections::VecDeque, sync::Arc};

/// Number of changes kept for hosts that missed a datagram. It covers a few seconds of the
/// fastest rolling replacement of servers.
const MAX_CHANGES: usize = 32;

/// A change from one revision to a later one.
pub trait RevisionedChange {
    /// Revision to which the change applies.
    fn start_revision(&self) -> u64;
    /// Revision after the change.
    fn end_revision(&self) -> u64;
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

impl<C: RevisionedChange> ChangeLog<C> {
    /// Adds a change. If it does not continue the last one, older changes are dropped.
    pub fn push(&mut self, change: C) {
        let continues = self.changes.back().is_some_and(|last| {
            change.start_revision() <= last.end_revision()
                && last.end_revision() < change.end_revision()
        });
        if !continues {
            self.changes.clear();
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Arc::new(change));
    }

    /// All changes after `revision`, or none if the log does not reach back that far.
    pub fn since(&self, revision: u64) -> Vec<Arc<C>> {
        let newer = self
            .changes
            .iter()
            .filter(|change| change.end_revision() > revision);
        let newer: Vec<_> = newer.cloned().collect();
        match newer.first() {
            Some(first) if first.start_revision() <= revision => newer,
            _ => Vec::new(),
        }
    }
}
