//! Begin and end of this host's terms as the leader.

use {
    super::{
        host_table::HostTable,
        leader_actor::{LeaderActor, Role},
        leader_handlers::Announce,
        limit_table::LimitTable,
        memory_check::MemoryCheck,
        takeover::{KnownLeadership, take_over},
        warmup_table::WarmupTable,
        zone_planning::ZonePlanning,
    },
    crate::state::StoreKind,
    camphorcove_core::{
        ids::StoreVersion,
        ownership::{
            ElectorSource, LeaderRecord, OwnerState, OwnershipPlanner, PlanInput, Predecessor,
            PredecessorWatch, RecoveryPhase,
        },
        time::BootTime,
    },
    kameo::actor::ActorRef,
};

impl LeaderActor {
    /// Starts a takeover if there is no leader, or if it is lost or lacks the store.
    pub(super) fn take_over_if_due(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let stored = self.state.owners();
        let leader = stored
            .as_ref()
            .and_then(|(owners, _)| owners.leader.as_ref());
        let vacant =
            self.may_replace_leader || leader.is_none_or(|leader| self.is_own_record(leader));
        let idle = matches!(self.role, Role::Follower);
        if !idle || !self.candidacy.is_due(vacant, now) {
            return;
        }
        // A host without servers cannot grant keys, and others are about to take over.
        if self.state.lacks_servers() && !self.state.choose_relay_peers(1).is_empty() {
            return;
        }
        self.candidacy.record_attempt(now);
        self.role = Role::Candidate;
        self.announced.clone_from(&stored);
        let known_term = stored.map(|(owners, _)| owners.term);
        let known = KnownLeadership {
            term: known_term,
            leader_lives: self.may_replace_leader,
            deferred_epoch: self.deferred_epoch,
        };
        log::info!(term:? = known_term, vacant; "no active leader, trying to take over");
        let owners = self.owners.clone();
        let record = LeaderRecord {
            host: self.state.settings.host.clone(),
            nonce: self.state.nonce,
            address: self.state.settings.peers,
        };
        let secret = self.generate_secret();
        let actor = actor.clone();
        tokio::spawn(async move {
            let ended = take_over(&owners, record, known, secret).await;
            if let Err(error) = actor.tell(ended).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Whether the leader record names this host, which does not lead. Such a record is from
    /// an earlier process, or from a write of this process that took effect after the process
    /// had stopped waiting for it.
    pub(super) fn is_own_record(&self, leader: &LeaderRecord) -> bool {
        let settings = &self.state.settings;
        leader.host == settings.host && leader.address == settings.peers
    }

    /// Random key for the datagrams between hosts.
    pub(super) fn generate_secret(&self) -> String {
        let mut secret = String::new();
        for _ in 0..4 {
            let part = self.state.random_u64();
            secret.push_str(&format!("{part:016x}"));
        }
        secret
    }

    /// Updates the role from the leader named in the latest known assignment.
    pub(super) fn update_role(&mut self, now: BootTime) {
        let Some((owners, _)) = self.state.owners() else {
            return;
        };
        if let Role::Leader(planner) = &self.role
            && owners.term > planner.state().term
        {
            self.step_down("another host leads", now);
        }
        // Gives a new leader time to send its first digest.
        if owners.term > self.seen_term && owners.leader.is_some() {
            self.candidacy.record_leader_contact(now);
        }
        self.seen_term = self.seen_term.max(owners.term);
    }

    /// Writes the assignment again, after the store has lost it and holds the earlier version
    /// `stored`. Without authority, a successor may have granted keys meanwhile.
    pub(super) fn write_again(&mut self, stored: StoreVersion, now: BootTime) {
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        // A read that was sent before the assignment was written again may be answered after it.
        let is_missing = stored.revision == 0;
        if stored.epoch <= self.version.epoch && !is_missing {
            return;
        }
        if !planner.has_authority(now) {
            self.step_down("the store has lost writes", now);
            return;
        }
        let (lost, term) = (self.version, planner.state().term);
        log::warn!(term, lost:% = lost, stored:% = stored; "store has lost the assignment, writing it again");
        self.version = stored;
        planner.handle_input(PlanInput::WritesLost(stored.epoch), now);
    }

    /// Becomes a follower, without a write to the store.
    pub(super) fn step_down(&mut self, reason: &str, now: BootTime) {
        if let Role::Leader(planner) = &self.role {
            log::info!(term = planner.state().term, reason; "leadership ended");
        }
        self.role = Role::Follower;
        self.state.set_is_leader(false);
        self.candidacy.record_leader_contact(now);
    }

    /// Removes this leader from the stored assignment, so that a successor need not wait for
    /// the end of its authority.
    pub(super) fn resign(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let Role::Leader(planner) = &self.role else {
            return;
        };
        let mut state = planner.state().clone();
        state.enter_epoch(self.version.epoch);
        state.leader = None;
        state.change += 1;
        let version = self.version;
        self.step_down("resigned", now);
        self.candidacy.record_resignation(now);
        let owners = self.owners.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let (_, outcome) = owners.write(&state, version).await;
            log::info!(term = state.term, outcome:? = outcome; "write of the resignation ended");
            if let Err(error) = actor.tell(Announce).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Becomes the leader after the store has acknowledged the takeover.
    pub(super) fn begin_term(
        &mut self,
        (state, version): (OwnerState, StoreVersion),
        predecessor: Predecessor,
        recovery: Option<RecoveryPhase>,
        elector_source: ElectorSource,
        predecessor_end: BootTime,
    ) {
        let now = self.state.now();
        let electors = state.electors.clone();
        self.predecessors = PredecessorWatch::new(predecessor, electors, elector_source, now);
        let planner = match recovery {
            Some(recovery) => {
                OwnershipPlanner::after_lost_writes(state, recovery, predecessor_end, now)
            }
            None => OwnershipPlanner::new(state, predecessor_end, now),
        };
        // The last version that this host knew before it wrote the takeover.
        let remembered = self.announced.as_ref().map(|(_, version)| *version);
        self.unverified = match (recovery, remembered) {
            (Some(RecoveryPhase::Unverified), Some(remembered)) => Some(MemoryCheck::new(
                remembered,
                version.epoch,
                self.last_digest_at,
                now,
            )),
            (Some(_), _) | (None, _) => None,
        };
        self.term_started_at = now;
        log::info!(term = planner.state().term, revision:% = version; "this host is now the leader");
        self.version = version;
        self.takeover_version = version;
        self.confirm_started_at = now;
        self.confirm_failures = 0;
        self.confirming = false;
        self.hosts = HostTable::default();
        self.limits = LimitTable::new(self.state.shared_limits(), now);
        self.warmups = WarmupTable::new(self.state.warmup_shares(), now);
        self.zone_planning = ZonePlanning::new(&self.state.transfers(), now);
        self.versions = self.state.versions();
        self.fleet_version_sent = self.versions.get(StoreKind::Fleet);
        self.config_version_sent = self.versions.get(StoreKind::Config);
        self.may_replace_leader = false;
        self.state.set_is_leader(true);
        self.role = Role::Leader(Box::new(planner));
        self.announce();
        self.send_digests(now);
    }
}
