//! What shows a new leader that the leaders before it have stopped acting.

use {
    super::{
        AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, ElectorList, LeaderRecord,
        MAJORITY_REPORT_MAX_AGE, ORDER_TIMEOUT,
    },
    crate::{
        ids::HostId,
        time::{BootTime, with_drift},
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Longest time for which a leader counts a report as recent, from its arrival.
pub const FRESH_REPORT_LIMIT: Duration = Duration::from_millis(500);

/// What is known of the leader before this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// It has stopped acting as leader.
    Ended,
    /// It may act still.
    Known(LeaderRecord),
    /// Leaders may act still whose takeovers the store has lost, or which the previous leader had not
    /// outlasted.
    Unknown,
}

/// Where the list of electors comes from that a new leader begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectorSource {
    /// From the store, which has lost no writes; earlier leaders count the same electors.
    Store,
    /// From a copy of the assignment, after the store has lost writes: earlier leaders may
    /// count others.
    Copy,
}

/// Finds out when the leaders before this one have ended.
#[derive(Clone, Debug)]
pub struct PredecessorWatch {
    predecessor: Predecessor,
    electors: ElectorList,
    source: ElectorSource,
    started_at: BootTime,
}

impl PredecessorWatch {
    /// Begins at the takeover, whose assignment names `electors`.
    pub fn new(
        predecessor: Predecessor,
        electors: ElectorList,
        source: ElectorSource,
        started_at: BootTime,
    ) -> Self {
        Self {
            predecessor,
            electors,
            source,
            started_at,
        }
    }

    /// Whether no earlier leader can get support any more. Then the electors may be changed.
    pub fn has_ended(&self) -> bool {
        self.predecessor == Predecessor::Ended
    }

    /// Electors of the takeover.
    pub fn electors(&self) -> &ElectorList {
        &self.electors
    }

    /// Records that a host reports to this leader. A leader sends no reports, so the previous one has
    /// stepped down or restarted if it does; returns the time after which it sends no orders.
    pub fn record_report(
        &mut self,
        host: &HostId,
        address: SocketAddr,
        now: BootTime,
    ) -> Option<BootTime> {
        let Predecessor::Known(record) = &self.predecessor else {
            return None;
        };
        if record.host != *host || record.address != address {
            return None;
        }
        self.predecessor = Predecessor::Ended;
        Some(now + ORDER_TIMEOUT)
    }

    /// Checks whether the hosts that report to this leader leave earlier ones without support;
    /// returns the time after which these send no orders. `verified` says that most hosts have
    /// shown that they remember no later assignment than this leader.
    pub fn check(
        &mut self,
        reporting: &BTreeSet<HostId>,
        verified: bool,
        now: BootTime,
    ) -> Option<BootTime> {
        if self.has_ended() {
            return None;
        }
        if now.since(self.started_at) >= with_drift(AUTHORITY_LIMIT) {
            self.predecessor = Predecessor::Ended;
            return None;
        }
        let is_left = match self.source {
            ElectorSource::Store => self.electors.has_majority(reporting),
            // Most hosts of an outdated list prove nothing. With all of them, only a list with more
            // later hosts than these leaves an earlier leader a majority.
            ElectorSource::Copy => verified || self.electors.has_all(reporting),
        };
        if !is_left {
            return None;
        }
        self.predecessor = Predecessor::Ended;
        // The earlier leader may have received reports of these hosts until now.
        let majority_end = now + MAJORITY_REPORT_MAX_AGE + FRESH_REPORT_LIMIT;
        let confirmed_end = self.started_at + AUTHORITY_LIMIT_WITHOUT_MAJORITY;
        Some(majority_end.max(confirmed_end) + ORDER_TIMEOUT)
    }
}
