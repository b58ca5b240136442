//! Becoming the controller: when a host becomes a candidate, and the takeover write.

use {
    super::{
        ScopeRole,
        controller_term::{ControllerTerm, Predecessor},
        forwarder_table::ForwarderTable,
        object_writer::RETRY_DELAY,
        scope_machine::{ScopeMachine, VersionedState},
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

/// Added to the delay of a host that sees no majority of the electors in its list of live hosts.
const ISOLATED_DELAY: Duration = Duration::from_millis(3_000);

/// Upper bound of the delay's backoff factor after takeovers that produced no map.
const MAX_BACKOFF_FACTOR: u32 = 64;

/// A candidate's pause between reads grows by one `RETRY_DELAY` per this many ranks.
///
/// In a long outage all hosts become candidates; their reads together must stay
/// far below the rate that the platform sustains.
const RANKS_PER_PAUSE: u32 = 4;

/// Upper bound of the random part of the delay, which separates hosts with equal ranks.
const MAX_JITTER_MS: u64 = 100;

/// A map counts as extended if its validity ends at least this much later than before.
///
/// Hosts that pass an old map on to each other extend it by their clock drift,
/// which is at most 15 ms in `MAP_TTL`.
const MIN_EXTENSION: Duration = Duration::from_millis(50);

/// Decides when this host should try to become the controller.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidacyTimer {
    started: bool,
    /// Start of the candidate delay: the controller's last activity, or when this host last
    /// started or stepped down.
    delay_start: BootTime,
    /// End of validity of the newest map seen.
    valid_until: BootTime,
    /// Highest term seen in a map or scope object.
    highest_epoch: Epoch,
    /// Doubles with each new term, until another host's map is seen.
    backoff_factor: u32,
    /// A controller proposed this host as its successor.
    handover_offered: bool,
    /// End of the delay for this host's rank, once it was ranked.
    due_at: Option<BootTime>,
    /// Term of the last takeover write that this host started.
    pub(super) claimed_epoch: Epoch,
}

impl CandidacyTimer {
    pub(super) fn start(&mut self, now: BootTime) {
        if !self.started {
            self.started = true;
            self.delay_start = now;
            self.backoff_factor = 1;
        }
    }

    pub(super) fn seen_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    pub(super) fn offer_handover(&mut self) {
        self.handover_offered = true;
    }

    /// Restarts the delay and drops a handover offer.
    pub(super) fn restart(&mut self, now: BootTime) {
        self.delay_start = now;
        self.handover_offered = false;
        self.due_at = None;
    }

    /// Restarts the delay if the map shows that a controller is active.
    ///
    /// Maps of a superseded controller do not count. A handover offer outlasts maps of the term
    /// that it ends, because the last of them may arrive after the offer.
    pub(super) fn map_observed(
        &mut self,
        epoch: Epoch,
        valid_until: BootTime,
        own: bool,
        now: BootTime,
    ) {
        let newer = epoch > self.highest_epoch;
        let extended = valid_until >= self.valid_until + MIN_EXTENSION;
        if epoch < self.highest_epoch || (!newer && !extended) {
            return;
        }
        self.highest_epoch = epoch;
        self.valid_until = valid_until;
        // This host's own map, for example during adoption, does not show that another
        // controller works.
        if !own {
            self.backoff_factor = 1;
        }
        let still_offered = self.handover_offered && !newer;
        self.restart(now);
        self.handover_offered = still_offered;
    }

    /// Restarts the delay because another host holds a newer term.
    ///
    /// That host needs time to gain authority and publish a map. The delay doubles
    /// with each such term, so that candidates which reach the platform but no
    /// electors do not depose each other forever.
    pub(super) fn superseded(&mut self, epoch: Epoch, jitter: Duration, now: BootTime) {
        if epoch > self.highest_epoch {
            self.highest_epoch = epoch;
            self.valid_until = BootTime(0);
            self.backoff_factor = (self.backoff_factor * 2).min(MAX_BACKOFF_FACTOR);
        }
        self.restart(now + jitter);
    }

    fn delay_end(&self, rank: u32) -> BootTime {
        // The first term seen without a map gets the normal delay, hence the half.
        let backoff_factor = (self.backoff_factor / 2).max(1);
        self.delay_start + CANDIDATE_DELAY * backoff_factor + RANK_DELAY * rank
    }

    /// Whether a host of the best rank would be due; a cheap check before ranking the hosts.
    fn may_be_due(&self, now: BootTime) -> bool {
        self.handover_offered || now >= self.delay_end(0)
    }

    pub(super) fn is_due(&self, now: BootTime) -> bool {
        self.handover_offered || self.delay_has_passed(now)
    }

    /// Whether the delay has passed, regardless of handover offers.
    fn delay_has_passed(&self, now: BootTime) -> bool {
        self.due_at.is_some_and(|due_at| now >= due_at)
    }

    /// Sets the due time for this rank; returns whether the host is due.
    fn reschedule(&mut self, rank: u32, now: BootTime) -> bool {
        self.due_at = Some(self.delay_end(rank));
        self.is_due(now)
    }
}

impl ScopeMachine {
    /// Runs one step of a host that holds no term.
    pub(super) fn run_candidacy(&mut self, now: BootTime) {
        if self.resigning {
            self.give_up_candidacy(now);
            return;
        }
        if self.role == ScopeRole::Idle && self.should_become_candidate(now) {
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

    fn should_become_candidate(&mut self, now: BootTime) -> bool {
        if self.spec.is_none() || self.hosts.is_empty() || self.host.leaving {
            return false;
        }
        if !self.candidacy_timer.may_be_due(now) {
            return false;
        }
        let rank = self
            .hosts
            .rank(&self.service, &self.host.id, self.controller());
        self.read_pause = RETRY_DELAY * (1 + rank / RANKS_PER_PAUSE);
        self.candidacy_timer.reschedule(rank, now)
    }

    /// Decides whether to take over after a read of the scope object.
    ///
    /// `object` is held by another process, or `None` if it does not exist yet.
    pub(super) fn decide_takeover(&mut self, object: Option<VersionedState>, now: BootTime) {
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
        if epoch > self.candidacy_timer.seen_epoch() && !resigned {
            let jitter = self.jitter();
            self.candidacy_timer.superseded(epoch, jitter, now);
            self.role = ScopeRole::Idle;
            return;
        }
        if self.role != ScopeRole::Candidate {
            return;
        }
        if resigned || self.candidacy_timer.delay_has_passed(now) {
            self.take_over_if_connected(resigned, now);
            return;
        }
        // A handover was offered, but the object does not say that the controller resigned,
        // so the controller is still active.
        self.role = ScopeRole::Idle;
        self.candidacy_timer.restart(now);
    }

    /// Takes over at once if a majority of the electors is live, else after a longer delay.
    ///
    /// A host that is cut off from the others would only depose a working
    /// controller. The list of live hosts may be wrong, so safety does not depend
    /// on this check.
    fn take_over_if_connected(&mut self, resigned: bool, now: BootTime) {
        let electors = self.state().map(|state| state.electors.as_slice());
        let electors = electors.unwrap_or_default();
        let connected = self.has_live_majority(electors);
        if connected
            || resigned
            || self
                .candidacy_timer
                .delay_has_passed(now.minus(ISOLATED_DELAY))
        {
            self.take_over(now);
        }
    }

    pub(super) fn jitter(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..MAX_JITTER_MS))
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
        self.write_takeover(None, state, "scope created", now);
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
        self.write_takeover(Some(object.version), object.state, reason, now);
    }

    /// Starts the write that makes this process the controller of the next term.
    fn write_takeover(
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
        state.remove_archived_records(self.archived_up_to);
        let action = AuditAction::Takeover {
            before: before.0,
            after: state.epoch.0,
        };
        state.append_record(self.wall_millis(now), action, reason);
        self.candidacy_timer.claimed_epoch = state.epoch;
        let write = self.writer.start(expected, state, now);
        self.actions.push(write);
    }

    /// Starts the term that the scope object now assigns to this process.
    ///
    /// The forwarders of the last known map are kept.
    pub(super) fn start_term(&mut self, object: VersionedState, now: BootTime) {
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
        self.read_pause = RETRY_DELAY;
        self.dirty = true;
    }
}
