//! The latest changes of something that is followed by revision.

use std::{collections::VecDeque, sync::Arc};

/// Changes that are kept for hosts that missed a datagram: a few seconds of the busiest
/// replacement of servers.
const LOG_LENGTH: usize = 32;

/// A change that leads from one revision to another.
pub trait Revised {
    /// Revision that it starts from.
    fn start(&self) -> u64;
    /// Revision that it leads to.
    fn end(&self) -> u64;
}

/// Latest changes, oldest first.
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

impl<C: Revised> ChangeLog<C> {
    /// Adds a change; what does not continue the last one starts the log anew.
    pub fn push(&mut self, change: C) {
        let continues = self
            .changes
            .back()
            .is_some_and(|last| change.start() <= last.end() && last.end() < change.end());
        if !continues {
            self.changes.clear();
        }
        if self.changes.len() == LOG_LENGTH {
            self.changes.pop_front();
        }
        self.changes.push_back(Arc::new(change));
    }

    /// Changes that lead on from `revision`; none if the first of them is not known.
    pub fn since(&self, revision: u64) -> Vec<Arc<C>> {
        let newer = self.changes.iter().filter(|change| change.end() > revision);
        let newer: Vec<_> = newer.cloned().collect();
        match newer.first() {
            Some(first) if first.start() <= revision => newer,
            _ => Vec::new(),
        }
    }
}
