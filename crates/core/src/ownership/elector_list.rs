//! The hosts whose reports decide which leader may act without the store, and which may act early.
//!
//! A leader that the store has not confirmed recently goes on renewing leases while most electors report
//! to it. Its successor acts early once most electors report to the successor. Each host reports to one
//! leader, the one with the highest term that it knows, so both cannot be true if both count the
//! same hosts. The list is therefore a part of the stored assignment: a takeover reads it, and its conditional
//! write keeps the earlier leader from changing it afterwards.

use {
    crate::ids::HostId,
    bincode::{Decode, Encode},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The list is outdated if fewer than this share of the electors report, or if this share of the
/// reporting hosts is exceeded by hosts that are no electors; in quarters.
const CURRENT_QUARTERS: usize = 3;

/// Ids of the electors; empty if they are not known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(transparent)]
pub struct ElectorList {
    hosts: BTreeSet<HostId>,
}

impl ElectorList {
    /// Ids of the electors.
    pub fn hosts(&self) -> &BTreeSet<HostId> {
        &self.hosts
    }

    /// Number of electors.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether the electors are not known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether more than half of the electors are among `reporting`.
    pub fn has_majority(&self, reporting: &BTreeSet<HostId>) -> bool {
        self.count_in(reporting) * 2 > self.len()
    }

    /// Whether all electors are among `reporting`.
    pub fn has_all(&self, reporting: &BTreeSet<HostId>) -> bool {
        !self.is_empty() && self.hosts.is_subset(reporting)
    }

    /// Whether the list differs so much from the hosts in `reporting` that it should be written for its own
    /// sake. Smaller differences wait for the next write, as single hosts that restart come back soon.
    pub fn is_outdated(&self, reporting: &BTreeSet<HostId>) -> bool {
        let common = self.count_in(reporting);
        common * 4 < self.len() * CURRENT_QUARTERS
            || common * 4 < reporting.len() * CURRENT_QUARTERS
    }

    fn count_in(&self, reporting: &BTreeSet<HostId>) -> usize {
        self.hosts.intersection(reporting).count()
    }
}

impl FromIterator<HostId> for ElectorList {
    fn from_iter<I: IntoIterator<Item = HostId>>(hosts: I) -> Self {
        Self {
            hosts: hosts.into_iter().collect(),
        }
    }
}
