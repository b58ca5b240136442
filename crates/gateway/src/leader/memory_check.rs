//! Whether hosts remember a later assignment than the one a leader began with.

use {
    crate::{peers::Report, state::StoreKind},
    camphorcove_core::{
        ids::{HostId, StoreVersion},
        time::BootTime,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Age up to which the last digest of the previous leader shows that this host knows all that leader's
/// writes: the time that a takeover needs after the loss of a leader, with one failed attempt.
const FOLLOWED_MAX_AGE: Duration = Duration::from_millis(2_500);

/// What a report says about the assignments that its host remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostMemory {
    /// The host has started after the store's return.
    Nothing,
    /// None later than the one the leader began with.
    NotLater,
    /// A later one.
    Later,
}

/// Check, after the store has lost writes, of the remembered assignment that a leader began with.
#[derive(Debug)]
pub(super) struct MemoryCheck {
    begun_with: StoreVersion,
    /// Epoch that the store is in; what hosts know of it is no memory.
    epoch: u64,
    /// Whether this host followed the previous leader until its end. Otherwise it may have missed
    /// writes that hosts which have started since cannot know of either.
    followed: bool,
    /// Hosts that remember an assignment, but no later one.
    witnesses: BTreeSet<HostId>,
}

impl MemoryCheck {
    pub fn new(
        begun_with: StoreVersion,
        epoch: u64,
        last_digest_at: Option<BootTime>,
        now: BootTime,
    ) -> Self {
        let followed = last_digest_at.is_some_and(|at| now.since(at) < FOLLOWED_MAX_AGE);
        Self {
            begun_with,
            epoch,
            followed,
            witnesses: BTreeSet::new(),
        }
    }

    /// Records what the host of a report remembers.
    pub fn record_report(&mut self, report: &Report) -> HostMemory {
        let known = [
            report.versions.get(StoreKind::Owners),
            report.remembered_owners,
        ];
        let remembered = known
            .into_iter()
            .filter(|version| version.epoch < self.epoch && version.revision > 0)
            .max();
        match remembered {
            None => HostMemory::Nothing,
            Some(remembered) if remembered > self.begun_with => HostMemory::Later,
            Some(_) => {
                self.witnesses.insert(report.host.clone());
                HostMemory::NotLater
            }
        }
    }

    /// Whether enough of `base` hosts have shown that they remember no later assignment, where
    /// `reporting` report.
    pub fn is_passed(&self, reporting: usize, base: usize) -> bool {
        let shown = match self.followed {
            true => reporting,
            false => self.witnesses.len().min(reporting),
        };
        shown * 2 > base
    }
}
