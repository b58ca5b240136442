//! Promises that a controller holds.

use {
    crate::{
        ids::HostId,
        time::{BootTime, PROMISE_INTERVAL, PROMISE_TTL},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval of requests for promises while there is no majority.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);

/// An elector that did not answer for this long is asked again.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// State of one elector.
#[derive(Clone, Copy, Debug, Default)]
struct ElectorTrack {
    promised_until: BootTime,
    asked_at: Option<BootTime>,
    waiting: bool,
}

/// Promises that a controller or candidate holds.
#[derive(Clone, Debug, Default)]
pub(super) struct AuthorityTable {
    current: Vec<HostId>,
    /// Electors that are to replace the current ones; asked, but not yet counted.
    next: Option<Vec<HostId>>,
    /// The object may already name the next electors, so both lists must agree.
    in_doubt: bool,
    tracks: BTreeMap<HostId, ElectorTrack>,
    used: BootTime,
}

impl AuthorityTable {
    pub(super) fn new(electors: &[HostId]) -> Self {
        Self {
            current: electors.to_vec(),
            ..Self::default()
        }
    }

    /// End of the authority; while a change of the electors is in doubt, both lists must agree.
    pub(super) fn end(&self) -> BootTime {
        let current = self.majority_end(&self.current);
        match &self.next {
            Some(next) if self.in_doubt => current.min(self.majority_end(next)),
            _ => current,
        }
    }

    /// Notes that grants or maps were issued under authority up to `end`.
    pub(super) fn mark_used(&mut self, end: BootTime) {
        self.used = self.used.max(end);
    }

    /// Prepares a change of the electors: the new ones are asked for promises as well.
    pub(super) fn propose(&mut self, electors: Vec<HostId>) {
        self.next = Some(electors);
    }

    pub(super) fn proposed(&self) -> Option<&Vec<HostId>> {
        self.next.as_ref()
    }

    /// Whether the proposed electors cover all authority that was ever used.
    ///
    /// A successor asks only the electors it reads from the scope object. It
    /// must not find a majority of them before the authority used under the
    /// old list has ended.
    pub(super) fn may_write_proposal(&self, now: BootTime) -> bool {
        let Some(next) = &self.next else {
            return false;
        };
        let end = self.majority_end(next);
        end > now && end >= self.used
    }

    /// The proposal is being written; both lists must agree until the outcome is known.
    pub(super) fn proposal_sent(&mut self) {
        self.in_doubt = true;
    }

    /// Nothing was written, so the current electors alone count again.
    pub(super) fn proposal_dropped(&mut self) {
        self.in_doubt = false;
    }

    pub(super) fn withdraw_proposal(&mut self) {
        self.next = None;
        self.in_doubt = false;
    }

    /// Takes in the electors that the scope object names.
    pub(super) fn settle(&mut self, electors: &[HostId]) {
        if self.current == electors {
            return;
        }
        self.current = electors.to_vec();
        self.next = None;
        self.in_doubt = false;
        self.tracks.retain(|host, _| electors.contains(host));
    }

    /// Electors to ask now.
    pub(super) fn due(&mut self, now: BootTime) -> Vec<HostId> {
        let interval = if self.end() > now {
            PROMISE_INTERVAL
        } else {
            CLAIM_INTERVAL
        };
        let mut due = Vec::new();
        for host in self.all() {
            let track = self.tracks.entry(host.clone()).or_default();
            let wait = if track.waiting {
                ANSWER_LIMIT
            } else {
                interval
            };
            if track.asked_at.is_some_and(|asked| now < asked + wait) {
                continue;
            }
            track.asked_at = Some(now);
            track.waiting = true;
            due.push(host);
        }
        due
    }

    /// Takes the answer of an elector to a request sent at `sent_at`.
    pub(super) fn answered(&mut self, elector: &HostId, sent_at: BootTime, promised: bool) {
        let Some(track) = self.tracks.get_mut(elector) else {
            return;
        };
        track.waiting = false;
        if promised {
            track.promised_until = track.promised_until.max(sent_at + PROMISE_TTL);
        }
    }

    fn all(&self) -> Vec<HostId> {
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
                self.tracks
                    .get(host)
                    .map_or(BootTime(0), |t| t.promised_until)
            })
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.get(electors.len() / 2).copied().unwrap_or(BootTime(0))
    }
}
