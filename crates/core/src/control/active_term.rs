//! Work of the process that holds the term: promises, electors, adoption and resignation.

use {
    super::{
        ScopeAction, ScopeRole,
        scope_machine::{ScopeMachine, VersionedState},
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

/// A successor without a majority for this long adopts the servers that check tokens.
///
/// Promises to a lost controller expire about 0.6 s after the takeover, so a
/// successor that reaches its electors has a majority before this delay ends.
const ADOPTION_DELAY: Duration = Duration::from_millis(800);

/// Interval of checks whether the scope object must change.
const OBJECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The platform counts as reachable if it answered a call sent at most this long ago.
const PLATFORM_CONTACT_LIMIT: Duration = Duration::from_millis(500);

/// Shortest interval of changes of the electors.
const ELECTOR_CHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

impl ScopeMachine {
    /// Runs one step of the process that holds the term.
    pub(super) fn run_term(&mut self, now: BootTime) {
        self.ask_promises(now);
        self.update_authority(now);
        self.update_servers(now);
        self.write_object(now);
        self.send_orders(now);
        self.publish_map(now);
        self.check_platform_contact(now);
    }

    /// Asks the electors that are due for a new promise.
    fn ask_promises(&mut self, now: BootTime) {
        if self.is_resignation_pending() {
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
        for elector in term.authority.electors_due(now) {
            self.actions.push(ScopeAction::RequestPromise {
                elector,
                request: request.clone(),
            });
        }
    }

    pub(super) fn handle_promise_answer(
        &mut self,
        elector: &HostId,
        sent_at: BootTime,
        reply: Option<&PromiseReply>,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        // A reply to a request of an earlier term of this process does not count for this term.
        if sent_at < term.acknowledged_at {
            return;
        }
        let promised = reply == Some(&PromiseReply::Promised);
        term.authority.record_answer(elector, sent_at, promised);
        let Some(PromiseReply::Refused { reason, known }) = reply else {
            return;
        };
        if *known > term.epoch || *reason == RefuseReason::OtherHolder {
            self.may_be_superseded = true;
        }
    }

    /// Notices that the term gained, lost or regained its authority.
    fn update_authority(&mut self, now: BootTime) {
        let Some(term) = &mut self.term else {
            return;
        };
        let live = term.authority.end() > now;
        if live && term.authority_gained_at.is_none() {
            term.authority_gained(now);
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

    fn is_resignation_pending(&self) -> bool {
        self.writer
            .pending_state()
            .is_some_and(|state| state.resigned)
    }

    /// Starts a write of the most urgent change of the scope object, if there is one.
    fn write_object(&mut self, now: BootTime) {
        if !self.writer.is_free(now) || !self.is_check_due(now) {
            return;
        }
        let Some(object) = self.object.clone() else {
            return;
        };
        let mut current = object.state;
        // Records are dropped before a new one is added, because the newest must stay: the
        // new record contains its hash.
        current.remove_archived_records(self.archived_up_to);
        let Some(next) = self.next_state(&current, now) else {
            return;
        };
        let write = self.writer.start(Some(object.version), next, now);
        self.actions.push(write);
        self.dirty = true;
    }

    /// Whether to check the object for changes; periodic, because some depend on time alone.
    fn is_check_due(&mut self, now: BootTime) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        if !self.dirty && now < term.next_check {
            return false;
        }
        term.next_check = now + OBJECT_CHECK_INTERVAL;
        true
    }

    /// Next content of the scope object, or `None` if nothing should change.
    ///
    /// A write makes one change; they are tried in order of urgency.
    fn next_state(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        if self.resigning && self.may_resign(now) {
            return Some(self.resigned_state(state, now));
        }
        self.replace_lost_electors(state, now)
            .or_else(|| self.start_adoption(state, now))
            .or_else(|| self.change_electors(state, now))
            .or_else(|| self.plan_ownership(state, now))
            .or_else(|| self.clear_uncovered_grants(state, now))
    }

    /// Whether the platform answered recently enough to resign.
    ///
    /// A resignation stops all renewals. During an outage of the platform no
    /// successor could take over, and the grants would expire.
    fn may_resign(&mut self, now: BootTime) -> bool {
        if now <= self.platform_contact_at + PLATFORM_CONTACT_LIMIT {
            return true;
        }
        self.request_read(now);
        false
    }

    fn resigned_state(&self, state: &ScopeState, now: BootTime) -> ScopeState {
        let mut next = state.clone();
        next.resigned = true;
        next.promises_ended = self.has_gained_authority();
        let action = AuditAction::Resigned {
            epoch: next.epoch.0,
        };
        next.append_record(self.wall_millis(now), action, "host shuts down");
        next
    }

    /// Offers the role to the best successor and steps down, once the resignation was written.
    pub(super) fn finish_resignation(&mut self, now: BootTime) {
        let mut others: Vec<HostId> = self
            .hosts
            .eligible()
            .map(|host| host.id.clone())
            .filter(|id| *id != self.host.id)
            .collect();
        others = crate::keys::rank_hosts(self.service.as_str(), &others);
        if let Some(host) = others.into_iter().next() {
            self.actions.push(ScopeAction::OfferHandover { host });
        }
        self.step_down(now);
    }

    /// Replaces the electors without a majority of them, once no older controller has authority.
    fn replace_lost_electors(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let electors = self.hosts.choose_electors(&self.service, &state.electors);
        let has_majority = self.has_live_majority(&state.electors);
        let term = self.term.as_mut()?;
        if term.authority_gained_at.is_some() {
            return None;
        }
        // No write is pending, so no change of the electors has an unknown outcome.
        term.authority.withdraw_proposal();
        let reason = if term.loss_confirmed_at.is_some() {
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
        // Until the outcome of the write is known, a successor may read either list.
        term.authority.propose(electors.clone());
        let mut next = state.clone();
        next.uncovered_grants = true;
        Some(self.state_with_electors(next, electors, reason, now))
    }

    /// Whether most electors are in the list of live hosts, which may be wrong.
    pub(super) fn has_live_majority(&self, electors: &[HostId]) -> bool {
        let live = electors
            .iter()
            .filter(|id| self.hosts.get(id).is_some())
            .count();
        live > electors.len() / 2
    }

    fn has_gained_authority(&self) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.authority_gained_at.is_some())
    }

    /// Records an operator's confirmation that the old electors are lost.
    ///
    /// It has an effect only for a successor without a majority.
    pub(super) fn confirm_lost(&mut self, now: BootTime) {
        if let Some(term) = &mut self.term {
            term.loss_confirmed_at.get_or_insert(now);
        }
    }

    /// Starts to renew the grants of servers that check tokens without a majority of electors.
    ///
    /// Until a majority promises, the authority counts from the last platform
    /// call that confirmed this term.
    fn start_adoption(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let checked = self.spec.as_ref()?.service.fencing == FencingMode::Checked;
        let term = self.term.as_mut()?;
        let due = now >= term.acknowledged_at + ADOPTION_DELAY;
        if term.authority_gained_at.is_some() || term.adopting || !checked || !due {
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

    /// Clears the mark of uncovered grants once all such grants have expired.
    fn clear_uncovered_grants(&self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        let term = self.term.as_ref()?;
        let authority_gained_at = term.authority_gained_at?;
        // After this time the grants of this term's own adoption have expired as well.
        let adoption_expiry = authority_gained_at + with_drift(PROMISE_TTL + MAP_TTL);
        let all_expired = now > term.inherited_expiry && now > adoption_expiry;
        if !state.uncovered_grants || !all_expired || !self.has_authority(now) {
            return None;
        }
        let mut next = state.clone();
        next.uncovered_grants = false;
        Some(next)
    }

    /// Replaces electors that are gone, once majorities of both lists have promised.
    fn change_electors(&mut self, state: &ScopeState, now: BootTime) -> Option<ScopeState> {
        if !self.has_authority(now) {
            return None;
        }
        let electors = self.target_electors(state, now);
        let term = self.term.as_mut()?;
        if term.authority_gained_at.is_none() || electors == state.electors || electors.is_empty() {
            term.authority.withdraw_proposal();
            return None;
        }
        if now < term.electors_changed_at + ELECTOR_CHANGE_INTERVAL {
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
        Some(self.state_with_electors(state.clone(), electors, "electors replaced", now))
    }

    /// Electors that the scope should have.
    ///
    /// No elector is replaced while one is missing from the list of live hosts only briefly.
    fn target_electors(&self, state: &ScopeState, now: BootTime) -> Vec<HostId> {
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

    fn state_with_electors(
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

    /// The scope object, if this process holds its term.
    pub(super) fn own_term_object(&self) -> Option<&VersionedState> {
        self.term.as_ref()?;
        self.object.as_ref()
    }
}
