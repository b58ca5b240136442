//! Promises that a controller has received from the electors.

use {
    crate::{
        ids::HostId,
        time::{BootTime, PROMISE_INTERVAL, PROMISE_TTL},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval of promise requests to an elector while there is no majority.
const NO_MAJORITY_INTERVAL: Duration = Duration::from_millis(50);

/// An elector that did not answer within this time is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests to one elector and the promise it gave.
#[derive(Clone, Copy, Debug, Default)]
struct ElectorState {
    promised_until: BootTime,
    asked_at: Option<BootTime>,
    /// The last request has not been answered.
    waiting: bool,
}

/// Electors of a controller or candidate, and the promises they gave.
///
/// A change of the electors works like joint consensus in Raft: until it is
/// known whether the change was written, both lists need a majority.
#[derive(Clone, Debug, Default)]
pub(super) struct AuthorityTable {
    current: Vec<HostId>,
    /// Proposed electors; they are asked for promises, but do not count yet.
    next: Option<Vec<HostId>>,
    /// The scope object may already name the next electors, so both lists need a majority.
    outcome_unknown: bool,
    elector_states: BTreeMap<HostId, ElectorState>,
    /// Latest end of authority under which a grant or map was issued.
    used_until: BootTime,
}

impl AuthorityTable {
    pub(super) fn new(electors: &[HostId]) -> Self {
        Self {
            current: electors.to_vec(),
            ..Self::default()
        }
    }

    /// Time until which a majority has promised.
    ///
    /// While the outcome of a change of the electors is unknown, both lists need a majority.
    pub(super) fn end(&self) -> BootTime {
        let current = self.majority_end(&self.current);
        match &self.next {
            Some(next) if self.outcome_unknown => current.min(self.majority_end(next)),
            _ => current,
        }
    }

    /// Records that a grant or map was issued under authority that ends at `end`.
    pub(super) fn mark_authority_used(&mut self, end: BootTime) {
        self.used_until = self.used_until.max(end);
    }

    /// Proposes new electors, which are asked for promises from now on.
    pub(super) fn propose(&mut self, electors: Vec<HostId>) {
        self.next = Some(electors);
    }

    pub(super) fn proposed(&self) -> Option<&Vec<HostId>> {
        self.next.as_ref()
    }

    /// Whether a majority of the proposed electors has promised for all authority used so far.
    ///
    /// A successor asks only the electors that it reads from the scope object. It
    /// must not get a majority of them before the authority used under the old
    /// list has ended.
    pub(super) fn may_write_proposal(&self, now: BootTime) -> bool {
        let Some(next) = &self.next else {
            return false;
        };
        let end = self.majority_end(next);
        end > now && end >= self.used_until
    }

    /// Records that the proposal is being written.
    pub(super) fn proposal_sent(&mut self) {
        self.outcome_unknown = true;
    }

    /// Records that the proposal was not written, so only the current electors count again.
    pub(super) fn proposal_not_written(&mut self) {
        self.outcome_unknown = false;
    }

    pub(super) fn withdraw_proposal(&mut self) {
        self.next = None;
        self.outcome_unknown = false;
    }

    /// Sets the electors that the scope object is known to name.
    pub(super) fn set_electors(&mut self, electors: &[HostId]) {
        if self.current == electors {
            return;
        }
        self.current = electors.to_vec();
        self.next = None;
        self.outcome_unknown = false;
        self.elector_states
            .retain(|host, _| electors.contains(host));
    }

    /// Returns the electors to ask now and records that they were asked.
    pub(super) fn electors_due(&mut self, now: BootTime) -> Vec<HostId> {
        let interval = if self.end() > now {
            PROMISE_INTERVAL
        } else {
            NO_MAJORITY_INTERVAL
        };
        let mut electors_due = Vec::new();
        for host in self.all_electors() {
            let elector_state = self.elector_states.entry(host.clone()).or_default();
            let wait = if elector_state.waiting {
                ANSWER_TIMEOUT
            } else {
                interval
            };
            if elector_state
                .asked_at
                .is_some_and(|asked| now < asked + wait)
            {
                continue;
            }
            elector_state.asked_at = Some(now);
            elector_state.waiting = true;
            electors_due.push(host);
        }
        electors_due
    }

    /// Records the answer of an elector to a request sent at `sent_at`.
    pub(super) fn record_answer(&mut self, elector: &HostId, sent_at: BootTime, promised: bool) {
        let Some(elector_state) = self.elector_states.get_mut(elector) else {
            return;
        };
        elector_state.waiting = false;
        if promised {
            elector_state.promised_until = elector_state.promised_until.max(sent_at + PROMISE_TTL);
        }
    }

    fn all_electors(&self) -> Vec<HostId> {
        let mut hosts = self.current.clone();
        for host in self.next.iter().flatten() {
            if !hosts.contains(host) {
                hosts.push(host.clone());
            }
        }
        hosts
    }

    fn majority_end(&self, electors: &[HostId]) -> BootTime {
        let mut ends: Vec<BootTime> = electors
            .iter()
            .map(|host| {
                self.elector_states
                    .get(host)
                    .map_or(BootTime(0), |t| t.promised_until)
            })
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.get(electors.len() / 2).copied().unwrap_or(BootTime(0))
    }
}
