//! Planner of the leader: renews leases, moves ranges and writes the assignment.
//!
//! The planner is a state machine without I/O: its inputs are results of orders and writes,
//! the fleet and the time; its outputs are orders to servers and writes to the store. It
//! keeps the assignment that the store has acknowledged and at most one pending write.
//! Grants follow the acknowledged assignment only. The orders of leases and moves are in
//! `lease_orders`, the computation of the next assignment in `move_planning`.

use {
    super::{
        AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, ChosenMoves, ElectorList, LeaseBounds,
        MAJORITY_REPORT_MAX_AGE, OrderFailure, OwnerState, PlanAction, PlanInput, RangeLoad,
        RangePhase, RecoveryPhase, ServerInstance,
        later_start::later_start,
        lease_bounds::{LEASE_DURATION, ORDER_TIMEOUT, max_lease_duration},
        lease_orders::{GrantProgress, RangeId},
        revocation_progress::RevocationProgress,
    },
    crate::{
        fleet::{EvacuationTable, FleetView},
        ids::{HostId, ServerId, ServiceName, ZoneName},
        time::BootTime,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Time without an answer after which a server whose last order failed counts as
/// unresponsive. Three orders fit into it; together with the lease given by the last of them,
/// keys are served again within 5 s of the loss of their owner.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Fencing tokens reserved for each move. An order without an answer may still be carried
/// out later, so the next attempt to revoke the range needs a higher token.
pub(super) const TOKENS_PER_MOVE: u64 = 16;

/// Shortest interval between two computations of the next assignment; combines the steps
/// of many moves into one write.
const PLANNING_INTERVAL: Duration = Duration::from_millis(20);

/// Decides which server owns which keys during one term of a leader.
#[derive(Clone, Debug)]
pub struct OwnershipPlanner {
    /// Assignment that the store has acknowledged.
    pub(super) state: OwnerState,
    /// Assignment of the write whose answer is awaited.
    pub(super) pending: Option<OwnerState>,
    /// Epoch in which the acknowledged assignment has to be written again, as the store has lost it.
    pub(super) lost_in: Option<u64>,
    /// Electors for the next write, if they are to change.
    pub(super) next_electors: Option<ElectorList>,
    /// Whether servers that the assignment does not name may hold keys, until all leases of earlier
    /// leaders have ended.
    pub(super) recovery: Option<RecoveryPhase>,
    /// All keys have to be taken from their owners by the next write.
    pub(super) must_withdraw: bool,
    pub(super) lease_bounds: LeaseBounds,
    pub(super) started_at: BootTime,
    /// Latest time at which the store is known to have named this leader.
    pub(super) confirmed_at: BootTime,
    /// Time by which grants of a successor have ended whose takeover the store has lost.
    pub(super) lost_successor_end: BootTime,
    /// When a majority of the electors was last known to report to this leader.
    pub(super) majority_reported_at: BootTime,
    pub(super) balanced_at: BootTime,
    /// When moves for a service were last chosen.
    pub(super) moves_chosen_at: BootTime,
    /// When the next assignment was last computed.
    pub(super) planned_at: BootTime,
    pub(super) grants: HashMap<RangeId, GrantProgress>,
    pub(super) revocations: HashMap<RangeId, RevocationProgress>,
    /// State of previous owners, passed on with the grants to the new owners.
    pub(super) handovers: HashMap<RangeId, String>,
    pub(super) loads: BTreeMap<ServiceName, RangeLoad>,
    /// Whether and when each server last answered an order.
    pub(super) responsiveness: HashMap<ServerInstance, ServerResponsiveness>,
    /// Instances at whose address another server answered. They are known to have ended,
    /// because an address is reused only after its previous server has ended.
    pub(super) ended_instances: HashSet<ServerInstance>,
    /// Owners whose keys were given up because they have ended.
    pub(super) ended_owners: HashSet<ServerInstance>,
    /// Those of them that have not been logged.
    pub(super) unlogged_ends: Vec<ServerInstance>,
    /// Chosen moves that have not been logged.
    pub(super) unlogged_moves: Vec<ChosenMoves>,
    pub(super) fleet_size: usize,
    pub(super) fleet_grew_at: BootTime,
    /// A server has seen a token of a later leader.
    pub(super) superseded: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ServerResponsiveness {
    /// Last answer, or the result of the first order if no answer has come yet.
    answered_at: BootTime,
    /// The last order was not sent or got no answer.
    failed: bool,
}

/// Fleet and configuration that the planner works from.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// Servers that have registered.
    pub fleet: &'a FleetView,
    /// Zones whose servers get no keys.
    pub evacuations: &'a EvacuationTable,
    /// Whether the fleet may lack servers that registered before this leader's term.
    pub fleet_is_behind: bool,
    /// Keyed services of the configuration.
    pub services: &'a [ServiceName],
    /// Load that fully uses a server, in the unit of [`RangeLoad`], by server id. The number of
    /// slots stands in for a missing value.
    pub capacity: &'a HashMap<ServerId, f32>,
}

impl PlanContext<'_> {
    /// Later start of an owner under its id, by its entry.
    pub(super) fn later_start(&self, owner: &ServerInstance) -> Option<ServerInstance> {
        later_start(self.fleet, owner)
    }

    /// Whether the entry of an owner has to be awaited: the fleet is behind and has not shown it yet.
    pub(super) fn awaits_entry(&self, owner: &ServerInstance) -> bool {
        self.fleet_is_behind && !self.fleet.has_known(&owner.id, owner.incarnation)
    }
}

impl ServerResponsiveness {
    pub(super) fn is_unresponsive(self, now: BootTime) -> bool {
        self.failed && now.since(self.answered_at) >= UNRESPONSIVE_TIMEOUT
    }
}

impl OwnershipPlanner {
    /// Creates the planner after the store has acknowledged the takeover that wrote `state`.
    ///
    /// Earlier leaders may renew grants until `predecessor_end`.
    pub fn new(state: OwnerState, predecessor_end: BootTime, now: BootTime) -> Self {
        Self {
            next_electors: None,
            state,
            pending: None,
            lost_in: None,
            recovery: None,
            must_withdraw: false,
            lease_bounds: LeaseBounds::new(predecessor_end),
            started_at: now,
            confirmed_at: now,
            lost_successor_end: BootTime::default(),
            majority_reported_at: BootTime::default(),
            balanced_at: now,
            moves_chosen_at: BootTime::default(),
            planned_at: BootTime::default(),
            grants: HashMap::new(),
            revocations: HashMap::new(),
            handovers: HashMap::new(),
            loads: BTreeMap::new(),
            responsiveness: HashMap::new(),
            ended_instances: HashSet::new(),
            ended_owners: HashSet::new(),
            unlogged_ends: Vec::new(),
            unlogged_moves: Vec::new(),
            fleet_size: 0,
            fleet_grew_at: now,
            superseded: false,
        }
    }

    /// Creates the planner for an assignment that may lack the last writes of earlier leaders.
    pub fn after_lost_writes(
        state: OwnerState,
        recovery: RecoveryPhase,
        predecessor_end: BootTime,
        now: BootTime,
    ) -> Self {
        Self {
            recovery: Some(recovery),
            ..Self::new(state, predecessor_end, now)
        }
    }

    /// Assignment that the store has acknowledged.
    pub fn state(&self) -> &OwnerState {
        &self.state
    }

    /// Whether a range is moving; then each answer of a server may allow the next step, so the
    /// planner is to be polled after each.
    pub fn has_moves(&self) -> bool {
        let mut records = self
            .state
            .services
            .values()
            .flat_map(|owners| &owners.ranges);
        records.any(|record| matches!(record.phase, RangePhase::Moving { .. }))
    }

    /// Whether a server has refused a grant because it saw a token of a later leader.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether grants may be renewed: the store has confirmed this leader recently, or a
    /// majority of the electors still reports to it, so that no successor can have a majority.
    pub fn has_authority(&self, now: BootTime) -> bool {
        let age = now.since(self.confirmed_at);
        let supported = now.since(self.majority_reported_at) < MAJORITY_REPORT_MAX_AGE;
        age < AUTHORITY_LIMIT_WITHOUT_MAJORITY || (supported && age < AUTHORITY_LIMIT)
    }

    /// Whether most electors are among `reporting`. While a write that changes the electors is
    /// pending, a successor may find either list in the store.
    pub fn is_supported_by(&self, reporting: &BTreeSet<HostId>) -> bool {
        let mut states = [Some(&self.state), self.pending.as_ref()]
            .into_iter()
            .flatten();
        states.all(|state| state.electors.has_majority(reporting))
    }

    /// Time since the store last confirmed this leader.
    pub fn confirmed_age(&self, now: BootTime) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Number of owners, and the owners that do not answer orders.
    pub fn unresponsive_owners(&self, now: BootTime) -> (usize, Vec<ServerInstance>) {
        let mut owners: BTreeSet<&ServerInstance> = BTreeSet::new();
        for record in self
            .state
            .services
            .values()
            .flat_map(|owners| &owners.ranges)
        {
            match &record.phase {
                RangePhase::Owned { owner, .. } | RangePhase::Moving { owner, .. } => {
                    owners.insert(owner);
                }
                RangePhase::Free => {}
            }
        }
        let unresponsive = owners
            .iter()
            .filter(|owner| self.is_unresponsive(owner, now));
        (
            owners.len(),
            unresponsive.map(|owner| (*owner).clone()).collect(),
        )
    }

    pub(super) fn is_unresponsive(&self, server: &ServerInstance, now: BootTime) -> bool {
        let responsiveness = self.responsiveness.get(server);
        responsiveness.is_some_and(|responsiveness| responsiveness.is_unresponsive(now))
    }

    /// Updates from the result of an order whether its server responds.
    pub(super) fn record_result(
        &mut self,
        server: &ServerInstance,
        failure: Option<OrderFailure>,
        now: BootTime,
    ) {
        let answered = match failure {
            Some(OrderFailure::NotSent | OrderFailure::Unanswered) => false,
            Some(OrderFailure::OtherServer) => {
                self.ended_instances.insert(server.clone());
                true
            }
            Some(OrderFailure::Superseded | OrderFailure::Rejected) | None => true,
        };
        let responsiveness =
            self.responsiveness
                .entry(server.clone())
                .or_insert(ServerResponsiveness {
                    answered_at: now,
                    failed: false,
                });
        if answered {
            responsiveness.answered_at = now;
        }
        responsiveness.failed = !answered;
    }

    /// Whether another server has answered at the address of the server instance.
    pub(super) fn has_ended(&self, instance: &ServerInstance) -> bool {
        self.ended_instances.contains(instance)
    }

    /// Records that keys are given up without a release or the end of their leases. Each owner is
    /// logged once a term, as the write that follows may fail and be planned again.
    pub(super) fn record_end(&mut self, owner: &ServerInstance) {
        if self.ended_owners.insert(owner.clone()) {
            self.unlogged_ends.push(owner.clone());
        }
    }

    /// Owners that were found to have ended since the last call.
    pub fn take_unlogged_ends(&mut self) -> Vec<ServerInstance> {
        std::mem::take(&mut self.unlogged_ends)
    }

    /// Moves that were chosen since the last call.
    pub fn take_unlogged_moves(&mut self) -> Vec<ChosenMoves> {
        std::mem::take(&mut self.unlogged_moves)
    }

    /// Whether no order may be sent yet, as servers that the assignment does not name may hold keys.
    /// Once they cannot, keys whose owners were never verified are taken from these.
    pub(super) fn awaits_unknown_owners(&mut self, now: BootTime) -> bool {
        let waits = now <= self.lease_bounds.inherited_end();
        match self.recovery {
            Some(RecoveryPhase::Unverified) if !waits => self.withdraw(),
            None | Some(_) => {}
        }
        self.recovery.is_some() && waits
    }

    pub(super) fn withdraw(&mut self) {
        self.recovery = Some(RecoveryPhase::Withdrawn);
        self.must_withdraw = true;
    }

    /// Adds requests for a key that hosts of `zone` have received to the load of its range. Hosts of an
    /// earlier build do not name their zone.
    pub fn record_requests(
        &mut self,
        service: &ServiceName,
        zone: Option<&ZoneName>,
        (key, requests): (u16, u32),
        now: BootTime,
    ) {
        let load = self
            .loads
            .entry(service.clone())
            .or_insert_with(|| RangeLoad::new(now));
        match zone {
            Some(zone) => load.add_from(zone, key, requests),
            None => load.add(key, requests),
        }
    }

    /// Applies an event to the state of the planner.
    pub fn handle_input(&mut self, input: PlanInput, now: BootTime) {
        match input {
            PlanInput::WriteAcked(sent_at) => self.commit_pending(sent_at),
            PlanInput::WriteNotApplied => self.pending = None,
            PlanInput::WritesLost(epoch) => {
                self.pending = None;
                self.lost_in = Some(epoch);
                self.lost_successor_end = now + ORDER_TIMEOUT + max_lease_duration(LEASE_DURATION);
            }
            PlanInput::Confirmed(sent_at) => self.confirmed_at = self.confirmed_at.max(sent_at),
            PlanInput::Reports(reporting) if self.is_supported_by(&reporting) => {
                self.majority_reported_at = now;
            }
            PlanInput::Reports(_) => {}
            PlanInput::Electors(electors) => self.next_electors = Some(electors),
            PlanInput::AssignmentVerified if self.recovery == Some(RecoveryPhase::Unverified) => {
                self.recovery = None;
            }
            PlanInput::AssignmentLacksWrites
                if self.recovery == Some(RecoveryPhase::Unverified) =>
            {
                self.withdraw();
            }
            PlanInput::AssignmentVerified | PlanInput::AssignmentLacksWrites => {}
            PlanInput::PredecessorEnds(end) => self.lease_bounds.limit_predecessor(end),
            PlanInput::GrantDone {
                service,
                range,
                token,
                server,
                result,
            } => self.handle_grant_result((service, range, token), &server, result, now),
            PlanInput::ReleaseDone {
                service,
                range,
                token,
                token_offset,
                server,
                result,
            } => self.handle_release_result(
                (service, range, token),
                token_offset,
                &server,
                result,
                now,
            ),
        }
    }

    pub(super) fn commit_pending(&mut self, sent_at: BootTime) {
        let Some(state) = self.pending.take() else {
            return;
        };
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.state = state;
        self.lost_in = None;
        self.must_withdraw = false;
        let current_ids = current_range_ids(&self.state);
        self.grants
            .retain(|range_id, progress| progress.in_flight || current_ids.contains(range_id));
        self.revocations
            .retain(|range_id, progress| progress.in_flight || current_ids.contains(range_id));
        self.handovers
            .retain(|range_id, _| current_ids.contains(range_id));
    }

    /// Returns the orders and writes that are due.
    pub fn poll(&mut self, plan_context: PlanContext<'_>, now: BootTime) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        for load in self.loads.values_mut() {
            load.decay(now);
        }
        self.lease_bounds.expire(now);
        if !self.has_authority(now) || self.superseded {
            return actions;
        }
        // Even the grant that raises a token would give keys to a second server.
        let awaits_unknown_owners = self.awaits_unknown_owners(now);
        if self.must_withdraw && self.pending.is_none() {
            let mut next_state = self.state.clone();
            if let Some(epoch) = self.lost_in {
                next_state.enter_epoch(epoch);
            }
            next_state.withdraw_all();
            next_state.change += 1;
            self.pending = Some(next_state.clone());
            actions.push(PlanAction::Write(Box::new(next_state)));
        }
        if awaits_unknown_owners || self.must_withdraw {
            return actions;
        }
        // The write that removes the mark also shows that the store still names this leader: another
        // write may have replaced its takeover, as revisions are given out again.
        if !self.state.may_lack_owners {
            self.renew(plan_context, now, &mut actions);
            self.revoke(plan_context, now, &mut actions);
        }
        if self.pending.is_none()
            && now.since(self.planned_at) >= PLANNING_INTERVAL
            && let Some(next_state) = self.plan_next_state(plan_context, now)
        {
            self.pending = Some(next_state.clone());
            actions.push(PlanAction::Write(Box::new(next_state)));
        }
        actions
    }
}

/// Ids of all records that have a token.
pub(super) fn current_range_ids(state: &OwnerState) -> HashSet<RangeId> {
    let mut range_ids = HashSet::new();
    for (service, owners) in &state.services {
        for record in &owners.ranges {
            let token = match &record.phase {
                RangePhase::Owned { token, .. } | RangePhase::Moving { token, .. } => *token,
                RangePhase::Free => continue,
            };
            range_ids.insert((service.clone(), record.range, token));
        }
    }
    range_ids
}
