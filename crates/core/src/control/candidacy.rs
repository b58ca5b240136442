//! Becoming the controller: when to try, and the takeover write.

use {
    super::{
        ScopeRole,
        controller_term::{ControllerTerm, Predecessor},
        forwarder_table::ForwarderTable,
        object_writer::RETRY_PAUSE,
        scope_machine::{HeldObject, ScopeMachine},
    },
    crate::{
        audit::AuditAction,
        conf::RoutingMode,
        ids::{ConfigVersion, Epoch},
        scope::{ScopeState, ShardState},
        time::{BootTime, CANDIDATE_DELAY, RANK_DELAY},
    },
    rand::RngExt,
    std::{collections::BTreeMap, time::Duration},
};

/// Added to the delay of a host on whose list most electors are missing.
const ISOLATED_DELAY: Duration = Duration::from_millis(3_000);

/// Largest factor of the delay after takeovers that produced no map.
const BACKOFF_LIMIT: u32 = 64;

/// Candidates pause longer between reads by one `RETRY_PAUSE` for each such number of ranks.
///
/// In a long outage all hosts become candidates; their reads must stay far
/// below the rate that the platform sustains.
const RANKS_PER_PAUSE: u32 = 4;

/// Largest random addition to the delay, so that hosts with equal ranks differ.
const JITTER_LIMIT_MS: u64 = 100;

/// A map counts as prolonged if its validity grew by at least this much.
///
/// Hosts that pass an old map on to each other prolong it by their drift, which
/// is at most 15 ms in `MAP_TTL`.
const PROLONG_MINIMUM: Duration = Duration::from_millis(50);

/// When this host should try to become the controller.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidacyTimer {
    started: bool,
    prolonged_at: BootTime,
    valid_until: BootTime,
    seen: Epoch,
    factor: u32,
    handover: bool,
    due: Option<BootTime>,
    /// Term of the last takeover write.
    pub(super) claimed: Epoch,
}

impl CandidacyTimer {
    pub(super) fn start(&mut self, now: BootTime) {
        if !self.started {
            self.started = true;
            self.prolonged_at = now;
            self.factor = 1;
        }
    }

    pub(super) fn seen_epoch(&self) -> Epoch {
        self.seen
    }

    pub(super) fn offer_handover(&mut self) {
        self.handover = true;
    }

    pub(super) fn restart(&mut self, now: BootTime) {
        self.prolonged_at = now;
        self.handover = false;
        self.due = None;
    }

    /// Maps of a superseded controller do not count as signs of life.
    pub(super) fn map_observed(
        &mut self,
        epoch: Epoch,
        valid_until: BootTime,
        own: bool,
        now: BootTime,
    ) {
        let newer = epoch > self.seen;
        let prolonged = valid_until >= self.valid_until + PROLONG_MINIMUM;
        if epoch < self.seen || (!newer && !prolonged) {
            return;
        }
        self.seen = epoch;
        self.valid_until = valid_until;
        // The own map, for example of an adopting controller, says nothing about others.
        if !own {
            self.factor = 1;
        }
        self.restart(now);
    }

    /// Another host holds a newer term; give it time to gain authority and publish.
    ///
    /// The delay doubles with each such term, so that candidates which reach the
    /// platform but no electors do not depose each other forever.
    pub(super) fn superseded(&mut self, epoch: Epoch, jitter: Duration, now: BootTime) {
        if epoch > self.seen {
            self.seen = epoch;
            self.valid_until = BootTime(0);
            self.factor = (self.factor * 2).min(BACKOFF_LIMIT);
        }
        self.restart(now + jitter);
    }

    fn delay_end(&self, rank: u32) -> BootTime {
        // The first term seen without a map gets the ordinary delay.
        let factor = (self.factor / 2).max(1);
        self.prolonged_at + CANDIDATE_DELAY * factor + RANK_DELAY * rank
    }

    /// Whether the best rank would be due; saves the others the work of ranking.
    fn may_be_due(&self, now: BootTime) -> bool {
        self.handover || now >= self.delay_end(0)
    }

    pub(super) fn is_due_at(&self, now: BootTime) -> bool {
        self.handover || self.has_waited(now)
    }

    /// Whether the delay has passed, regardless of offers.
    fn has_waited(&self, now: BootTime) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    fn is_due(&mut self, rank: u32, now: BootTime) -> bool {
        self.due = Some(self.delay_end(rank));
        self.is_due_at(now)
    }
}

impl ScopeMachine {
    /// Drives a host that holds no term.
    pub(super) fn drive_candidacy(&mut self, now: BootTime) {
        if self.resigning {
            self.give_up_candidacy(now);
            return;
        }
        if self.role == ScopeRole::Idle && self.is_candidate(now) {
            self.role = ScopeRole::Candidate;
        }
        if self.role == ScopeRole::Candidate && self.writer.pending_state().is_none() {
            self.request_read(now);
        }
    }

    fn give_up_candidacy(&mut self, now: BootTime) {
        if self.role == ScopeRole::Candidate {
            self.step_down(now);
        }
    }

    fn is_candidate(&mut self, now: BootTime) -> bool {
        if self.spec.is_none() || self.hosts.is_empty() || self.host.leaving {
            return false;
        }
        if !self.timer.may_be_due(now) {
            return false;
        }
        let rank = self
            .hosts
            .rank(&self.service, &self.host.id, self.controller());
        self.read_pause = RETRY_PAUSE * (1 + rank / RANKS_PER_PAUSE);
        self.timer.is_due(rank, now)
    }

    /// Decides what to do about an object that another process holds, or that is absent.
    pub(super) fn decide_takeover(&mut self, object: Option<HeldObject>, now: BootTime) {
        if self.term.is_some() {
            return;
        }
        let Some(object) = object else {
            if self.role == ScopeRole::Candidate {
                self.create_object(now);
            }
            return;
        };
        let resigned = object.state.resigned;
        let epoch = object.state.epoch;
        self.object = Some(object);
        if epoch > self.timer.seen_epoch() && !resigned {
            let jitter = self.jitter();
            self.timer.superseded(epoch, jitter, now);
            self.role = ScopeRole::Idle;
            return;
        }
        if self.role != ScopeRole::Candidate {
            return;
        }
        if resigned || self.timer.has_waited(now) {
            self.take_over_if_connected(resigned, now);
            return;
        }
        // The offer came without a mark in the object, so the controller is still there.
        self.role = ScopeRole::Idle;
        self.timer.restart(now);
    }

    /// Takes over at once if a majority of the electors is live, else after a longer delay.
    ///
    /// A host that is cut off from the others would only depose a controller
    /// that works. The list of live hosts is a hint, so this is no guard of safety.
    fn take_over_if_connected(&mut self, resigned: bool, now: BootTime) {
        let electors = self.state().map(|state| state.electors.as_slice());
        let electors = electors.unwrap_or_default();
        let connected = self.has_live_majority(electors);
        if connected || resigned || self.timer.has_waited(now.minus(ISOLATED_DELAY)) {
            self.take_over(now);
        }
    }

    pub(super) fn jitter(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(0..JITTER_LIMIT_MS))
    }

    fn create_object(&mut self, now: BootTime) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        let shards = match spec.service.routing {
            RoutingMode::Keyed => spec.service.shards as usize,
            RoutingMode::Free => 0,
        };
        let state = ScopeState {
            service: self.service.clone(),
            epoch: Epoch(0),
            controller: self.host.id.clone(),
            nonce: self.nonce,
            electors: self.hosts.choose_electors(&self.service, &[]),
            sequence: 0,
            config: ConfigVersion(0),
            shards: vec![ShardState::Unowned; shards],
            resigned: false,
            promises_ended: false,
            uncovered_grants: false,
            records: Vec::new(),
        };
        self.predecessor = Predecessor::default();
        self.claim(None, state, "scope created", now);
    }

    fn take_over(&mut self, now: BootTime) {
        let Some(object) = self.object.clone() else {
            return;
        };
        self.predecessor = Predecessor {
            resigned: object.state.resigned.then_some(object.state.epoch),
            promises_ended: object.state.resigned && object.state.promises_ended,
            uncovered_grants: object.state.uncovered_grants,
        };
        let reason = if object.state.resigned {
            "controller resigned"
        } else {
            "map validity was not prolonged"
        };
        self.claim(Some(object.version), object.state, reason, now);
    }

    fn claim(
        &mut self,
        expected: Option<crate::ids::ObjectVersion>,
        mut state: ScopeState,
        reason: &str,
        now: BootTime,
    ) {
        if !self.writer.is_free(now) {
            return;
        }
        let before = state.epoch;
        state.epoch = Epoch(before.0 + 1);
        state.controller = self.host.id.clone();
        state.nonce = self.nonce;
        state.sequence = 0;
        state.uncovered_grants |= state.resigned;
        state.resigned = false;
        state.promises_ended = false;
        state.drop_records(self.archived);
        let action = AuditAction::Takeover {
            before: before.0,
            after: state.epoch.0,
        };
        state.append_record(self.wall_millis(now), action, reason);
        self.timer.claimed = state.epoch;
        let write = self.writer.start(expected, state, now);
        self.actions.push(write);
    }

    /// Starts the term that the scope object now names.
    pub(super) fn start_term(&mut self, object: HeldObject, now: BootTime) {
        let mut assigned = BTreeMap::new();
        for server in self.last_map.iter().flat_map(|map| &map.servers) {
            if let Some(host) = &server.forwarder {
                assigned.insert(server.id.clone(), host.clone());
            }
        }
        let forwarders = ForwarderTable::new(assigned, now);
        let term = ControllerTerm::new(&object.state, self.predecessor, forwarders, now);
        self.object = Some(object);
        self.term = Some(term);
        self.role = ScopeRole::Candidate;
        self.read_pause = RETRY_PAUSE;
        self.dirty = true;
    }
}
