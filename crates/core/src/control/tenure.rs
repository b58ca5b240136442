//! Holding a term: promises, adoption, electors and resignation.

use {
    super::{
        ScopeAction, ScopeRole,
        scope_machine::{HeldObject, ScopeMachine},
    },
    crate::{
        audit::AuditAction,
        conf::FencingMode,
        election::{PromiseReply, PromiseRequest, RefuseReason},
        ids::HostId,
        scope::ScopeState,
        time::{BootTime, MAP_TTL, PROMISE_TTL, with_drift},
    },
    std::time::Duration,
};

/// Without a majority for this long, a successor adopts the servers it can fence.
///
/// Promises of a lost controller lapse about 0.6 s after the takeover, so a
/// successor that reaches its electors does not get here.
const ADOPTION_DELAY: Duration = Duration::from_millis(800);

/// Pause between checks whether the object needs a change.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// A platform that answered a call sent at most this long ago counts as reachable.
const CONTACT_LIMIT: Duration = Duration::from_millis(500);

/// Pause between changes of the electors.
const ELECTOR_PAUSE: Duration = Duration::from_millis(1_000);

impl ScopeMachine {
    /// Drives the holder of a term.
    pub(super) fn drive_term(&mut self, now: BootTime) {
        self.ask_promises(now);
        self.note_authority(now);
        self.drive_servers(now);
        self.write_object(now);
        self.send_orders(now);
        self.publish_map(now);
        self.check_contact(now);
    }

    fn ask_promises(&mut self, now: BootTime) {
        if self.is_marked_resigned() {
            return;
        }
        let Some(term) = &mut self.term else {
            return;
        };
        let request = PromiseRequest {
            service: self.service.clone(),
            epoch: term.epoch,
            controller: self.host.id.clone(),
            nonce: self.nonce,
            resigned: term.predecessor.resigned,
        };
        for elector in term.authority.due(now) {
            self.actions.push(ScopeAction::AskPromise {
                elector,
                request: request.clone(),
            });
        }
    }

    pub(super) fn take_promise(
        &mut self,
        elector: &HostId,
        sent_at: BootTime,
        reply: Option<&PromiseReply>,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        // A reply to a request of an earlier term of this process says nothing about this one.
        if sent_at < term.acknowledged_at {
            return;
        }
        let promised = reply == Some(&PromiseReply::Promised);
        term.authority.answered(elector, sent_at, promised);
        let Some(PromiseReply::Refused { reason, known }) = reply else {
            return;
        };
        if *known > term.epoch || *reason == RefuseReason::OtherHolder {
            self.questioned = true;
        }
    }

    fn note_authority(&mut self, now: BootTime) {
        let Some(term) = &mut self.term else {
            return;
        };
        let live = term.authority.end() > now;
        if live && term.gained_at.is_none() {
            term.gain(now);
            term.adopting = false;
            self.counters.takeovers += 1;
            self.role = ScopeRole::Controller;
            self.dirty = true;
        }
        let has_authority = self.has_authority(now);
        let Some(term) = &mut self.term else {
            return;
        };
        if term.had_authority && !has_authority {
            self.counters.authority_lapses += 1;
        }
        if !term.had_authority && has_authority {
            self.dirty = true;
        }
        term.had_authority = has_authority;
    }

    fn is_marked_resigned(&self) -> bool {
        self.writer
            .pending_state()
            .is_some_and(|state| state.resigned)
    }

    /// Writes the most urgent change of the object, if there is one.
    fn write_object(&mut self, now: BootTime) {
        if !self.writer.is_free(now) || !self.is_check_due(now) {
            return;
        }
        let Some(object) = self.object.clone() else {
            return;
        };
        let mut current = object.state;
        // Before the new record is added, so that the record it is chained to stays.
        current.drop_records(self.archived);
        let Some(next) = self.next_state(&current, now) else {
            return;
        };
        let write = self.writer.start(Some(object.version), next, now);
        self.actions.push(write);
        self.dirty = true;
    }

    /// Some changes depend on time alone, so the object is checked now and then.
    fn is_check_due(&mut self, now: BootTime) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        if !self.dirty && now < term.next_check {
            return false;
        }
        term.next_check = now + CHECK_PAUSE;
        true
    }

    fn next_state(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        if self.resigning && self.may_resign(now) {
            return Some(self.resigned_state(state, now));
        }
        self.replace_lost_electors(state, now)
            .or_else(|| self.start_adoption(state, now))
            .or_else(|| self.change_electors(state, now))
            .or_else(|| self.plan_ownership(state, now))
            .or_else(|| self.clear_flag(state, now))
    }

    /// A resignation stops all renewals, so it is written only if the platform just answered.
    ///
    /// During an outage no successor could take over, and grants would lapse.
    fn may_resign(&mut self, now: BootTime) -> bool {
        if now <= self.contact_at + CONTACT_LIMIT {
            return true;
        }
        self.request_read(now);
        false
    }

    fn resigned_state(&self, state: &ScopeState, now: BootTime) -> ScopeState {
        let mut next = state.clone();
        next.resigned = true;
        next.promises_ended = self.has_gained();
        let action = AuditAction::Resigned {
            epoch: next.epoch.0,
        };
        next.append_record(self.wall_millis(now), action, "host shuts down");
        next
    }

    /// The object says that this term ended; names the best successor and stops.
    pub(super) fn finish_resignation(&mut self, now: BootTime) {
        let mut others: Vec<HostId> = self
            .hosts
            .staying()
            .map(|host| host.id.clone())
            .filter(|id| *id != self.host.id)
            .collect();
        others = crate::keys::rank_hosts(self.service.as_str(), &others);
        if let Some(host) = others.into_iter().next() {
            self.actions.push(ScopeAction::OfferHandover { host });
        }
        self.step_down(now);
    }

    /// The old controllers have stopped for certain, so their electors may be replaced.
    fn replace_lost_electors(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let electors = self.hosts.choose_electors(&self.service, &state.electors);
        let has_majority = self.has_live_majority(&state.electors);
        let term = self.term.as_mut()?;
        if term.gained_at.is_some() {
            return None;
        }
        // The writer is free, so no change of the electors is in doubt.
        term.authority.withdraw_proposal();
        let reason = if term.confirmed_at.is_some() {
            "operator confirmed that the old hosts are lost"
        } else if now > term.outage_limit_end() {
            "outage limit has passed"
        } else if term.predecessor.promises_ended && !has_majority {
            "controller resigned and most electors are gone"
        } else {
            return None;
        };
        if electors == state.electors || electors.is_empty() {
            return None;
        }
        // While the write is in doubt, a successor may find either list.
        term.authority.propose(electors.clone());
        let mut next = state.clone();
        next.uncovered_grants = true;
        Some(self.elector_state(next, electors, reason, now))
    }

    /// Whether most electors are on the list of live hosts; a hint.
    pub(super) fn has_live_majority(&self, electors: &[HostId]) -> bool {
        let live = electors
            .iter()
            .filter(|id| self.hosts.get(id).is_some())
            .count();
        live > electors.len() / 2
    }

    fn has_gained(&self) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.gained_at.is_some())
    }

    /// Takes an operator's confirmation; it counts only for a successor without a majority.
    pub(super) fn confirm_lost(&mut self, now: BootTime) {
        if let Some(term) = &mut self.term {
            term.confirmed_at.get_or_insert(now);
        }
    }

    /// Starts to renew the grants of checked servers by their fence alone.
    ///
    /// Until a majority promises, the platform takes the electors' place: the
    /// authority is counted from the last read that showed this term.
    fn start_adoption(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let checked = self.spec.as_ref()?.service.fencing == FencingMode::Checked;
        let term = self.term.as_mut()?;
        let due = now >= term.acknowledged_at + ADOPTION_DELAY;
        if term.gained_at.is_some() || term.adopting || !checked || !due {
            return None;
        }
        if state.uncovered_grants {
            term.adopting = true;
            self.dirty = true;
            return None;
        }
        let mut next = state.clone();
        next.uncovered_grants = true;
        Some(next)
    }

    fn clear_flag(&self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let term = self.term.as_ref()?;
        let gained_at = term.gained_at?;
        // Grants of this term's own adoption have lapsed as well after this time.
        let own_end = gained_at + with_drift(PROMISE_TTL + MAP_TTL);
        let settled = now > term.old_end && now > own_end;
        if !state.uncovered_grants || !settled || !self.has_authority(now) {
            return None;
        }
        let mut next = state.clone();
        next.uncovered_grants = false;
        Some(next)
    }

    /// Replaces electors that are gone, with the consent of both lists.
    fn change_electors(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        if !self.has_authority(now) {
            return None;
        }
        let electors = self.wanted_electors(state, now);
        let term = self.term.as_mut()?;
        if term.gained_at.is_none() || electors == state.electors || electors.is_empty() {
            term.authority.withdraw_proposal();
            return None;
        }
        if now < term.electors_changed_at + ELECTOR_PAUSE {
            return None;
        }
        if term.authority.proposed() != Some(&electors) {
            term.authority.propose(electors);
            return None;
        }
        if !term.authority.may_write_proposal(now) {
            return None;
        }
        term.electors_changed_at = now;
        term.authority.proposal_sent();
        Some(self.elector_state(state.clone(), electors, "electors replaced", now))
    }

    /// Electors that are merely unlisted for a moment stay.
    fn wanted_electors(&self, state: &ScopeState, now: BootTime) -> Vec<HostId> {
        let since = self.term.as_ref().map_or(now, |term| term.acknowledged_at);
        let undecided = state
            .electors
            .iter()
            .any(|id| self.hosts.get(id).is_none() && !self.hosts.is_gone(id, since, now));
        if undecided {
            return state.electors.clone();
        }
        self.hosts.choose_electors(&self.service, &state.electors)
    }

    fn elector_state(
        &self,
        mut next: ScopeState,
        electors: Vec<HostId>,
        reason: &str,
        now: BootTime,
    ) -> ScopeState {
        next.electors = electors;
        let action = AuditAction::Electors {
            electors: next.electors.iter().map(HostId::to_string).collect(),
        };
        next.append_record(self.wall_millis(now), action, reason);
        next
    }

    /// Object held, if this process holds its term.
    pub(super) fn held(&self) -> Option<&HeldObject> {
        self.term.as_ref()?;
        self.object.as_ref()
    }
}
