//! Planner of the leader: renews leases, moves ranges and writes the assignment.
//!
//! The planner is a state machine without I/O: its inputs are results of orders and writes,
//! the fleet and the time; its outputs are orders to servers and writes to the store. It
//! keeps the assignment that the store has acknowledged and at most one pending write.
//! Grants follow the acknowledged assignment only.

use {
    super::{
        AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, AssignableServer, KeyRange,
        LEASE_DURATION, LeaseBounds, MAJORITY_REPORT_MAX_AGE, ORDER_TIMEOUT, OrderFailure,
        OwnerDoubt, OwnerState, PlanAction, PlanInput, RENEW_INTERVAL, RangeLoad, RangePhase,
        RangeRecord, ServerInstance, ServiceOwners, choose_moves,
    },
    crate::{
        fleet::{FleetView, ServerPhase},
        ids::{ServerId, ServiceName},
        time::BootTime,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Delay before a failed order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without an answer after which a server whose last order failed counts as
/// unresponsive. Three orders fit into it; together with the lease given by the last of them,
/// keys are served again within 5 s of the loss of their owner.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Fencing tokens reserved for each move. An order without an answer may still be carried
/// out later, so the next attempt to revoke the range needs a higher token.
pub(super) const TOKENS_PER_MOVE: u64 = 16;

/// Time without a new server after which a service gets its first assignment, so that the
/// assignment covers all servers that start together.
const INITIAL_FLEET_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Longest time for which the first assignment waits for further servers.
const INITIAL_FLEET_MAX_WAIT: Duration = Duration::from_millis(4_000);

/// Interval at which load is balanced; long enough to see the effect of a move.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between two placements of keys without an owner: answers of servers
/// arrive in quick succession, and each placement scans all keys.
const UNOWNED_PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between two computations of the next assignment; combines the steps
/// of many moves into one write.
const PLANNING_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for the answer to a release, which a server sends when requests in progress have
/// ended. After a lost answer, the release is sent again.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Identifies one ownership record: service, range and token.
type RangeId = (ServiceName, KeyRange, u64);

/// Lease renewal of one owned range.
#[derive(Clone, Debug, Default)]
struct GrantProgress {
    in_flight: bool,
    due_at: BootTime,
}

/// Steps in which a range is revoked from its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RevocationStep {
    /// Send a grant with a higher token, so that the server refuses renewals by earlier leaders.
    #[default]
    RaiseToken,
    /// Send a release, which ends the lease.
    Release,
    /// The server no longer holds the range.
    Done,
}

/// Revocation of one moving range.
#[derive(Clone, Debug, Default)]
struct RevocationProgress {
    step: RevocationStep,
    in_flight: bool,
    /// Whether the order sent last is a grant (a raise of the token).
    is_grant: bool,
    due_at: BootTime,
    /// Number of grants sent to raise the token.
    raises_sent: u64,
    handover: Option<String>,
}

/// Decides which server owns which keys during one term of a leader.
#[derive(Clone, Debug)]
pub struct OwnershipPlanner {
    /// Assignment that the store has acknowledged.
    state: OwnerState,
    /// Assignment of the write whose answer is awaited.
    pending: Option<OwnerState>,
    /// Epoch in which the acknowledged assignment has to be written again, as the store has lost it.
    lost_in: Option<u64>,
    /// Number of hosts of which a majority has to report, for the next write.
    hosts: u32,
    /// Whether servers that the assignment does not name may hold keys, until all leases of earlier
    /// leaders have ended.
    doubt: Option<OwnerDoubt>,
    /// All keys have to be taken from their owners by the next write.
    must_withdraw: bool,
    lease_bounds: LeaseBounds,
    started_at: BootTime,
    /// Latest time at which the store is known to have named this leader.
    confirmed_at: BootTime,
    /// When a majority of hosts was last known to report to this leader.
    majority_reported_at: BootTime,
    balanced_at: BootTime,
    /// When moves for a service were last chosen.
    moves_chosen_at: BootTime,
    /// When the next assignment was last computed.
    planned_at: BootTime,
    grants: HashMap<RangeId, GrantProgress>,
    revocations: HashMap<RangeId, RevocationProgress>,
    /// State of previous owners, passed on with the grants to the new owners.
    handovers: HashMap<RangeId, String>,
    loads: BTreeMap<ServiceName, RangeLoad>,
    /// Whether and when each server last answered an order.
    responsiveness: HashMap<ServerInstance, ServerResponsiveness>,
    /// Instances at whose address another server answered. They are known to have ended,
    /// because an address is reused only after its previous server has ended.
    ended_instances: HashSet<ServerInstance>,
    fleet_size: usize,
    fleet_grew_at: BootTime,
    /// A server has seen a token of a later leader.
    superseded: bool,
}

#[derive(Clone, Copy, Debug)]
struct ServerResponsiveness {
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
    /// Keyed services of the configuration.
    pub services: &'a [ServiceName],
    /// Load that fully uses a server, in the unit of [`RangeLoad`], by server id. The number of
    /// slots stands in for a missing value.
    pub capacity: &'a HashMap<ServerId, f32>,
}

impl ServerResponsiveness {
    fn is_unresponsive(self, now: BootTime) -> bool {
        self.failed && now.since(self.answered_at) >= UNRESPONSIVE_TIMEOUT
    }
}

impl OwnershipPlanner {
    /// Creates the planner after the store has acknowledged the takeover that wrote `state`.
    ///
    /// Earlier leaders may renew grants until `predecessor_end`.
    pub fn new(state: OwnerState, predecessor_end: BootTime, now: BootTime) -> Self {
        Self {
            hosts: state.hosts,
            state,
            pending: None,
            lost_in: None,
            doubt: None,
            must_withdraw: false,
            lease_bounds: LeaseBounds::new(predecessor_end),
            started_at: now,
            confirmed_at: now,
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
            fleet_size: 0,
            fleet_grew_at: now,
            superseded: false,
        }
    }

    /// Creates the planner for an assignment that may lack the last writes of earlier leaders.
    pub fn after_lost_writes(
        state: OwnerState,
        doubt: OwnerDoubt,
        predecessor_end: BootTime,
        now: BootTime,
    ) -> Self {
        Self {
            doubt: Some(doubt),
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
    /// majority of hosts still reports to it, so that no successor can have a majority.
    pub fn has_authority(&self, now: BootTime) -> bool {
        let age = now.since(self.confirmed_at);
        let supported = now.since(self.majority_reported_at) < MAJORITY_REPORT_MAX_AGE;
        age < AUTHORITY_LIMIT_WITHOUT_MAJORITY || (supported && age < AUTHORITY_LIMIT)
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

    fn is_unresponsive(&self, server: &ServerInstance, now: BootTime) -> bool {
        let responsiveness = self.responsiveness.get(server);
        responsiveness.is_some_and(|responsiveness| responsiveness.is_unresponsive(now))
    }

    /// Updates from the result of an order whether its server responds.
    fn record_result(
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

    /// Whether the server instance is known to have ended.
    fn has_ended(&self, fleet: &FleetView, instance: &ServerInstance) -> bool {
        self.ended_instances.contains(instance) || instance_ended(fleet, instance)
    }

    /// Whether no order may be sent yet, as servers that the assignment does not name may hold keys.
    /// Once they cannot, keys whose owners were never verified are taken from these.
    fn awaits_unknown_owners(&mut self, now: BootTime) -> bool {
        let waits = now <= self.lease_bounds.inherited_end();
        match self.doubt {
            Some(OwnerDoubt::Unverified) if !waits => self.withdraw(),
            None | Some(_) => {}
        }
        self.doubt.is_some() && waits
    }

    fn withdraw(&mut self) {
        self.doubt = Some(OwnerDoubt::Withdrawn);
        self.must_withdraw = true;
    }

    /// Adds requests for a key to the load of its range.
    pub fn record_requests(
        &mut self,
        service: &ServiceName,
        key: u16,
        requests: u32,
        now: BootTime,
    ) {
        self.loads
            .entry(service.clone())
            .or_insert_with(|| RangeLoad::new(now))
            .add(key, requests);
    }

    /// Applies an event to the state of the planner.
    pub fn handle_input(&mut self, input: PlanInput, now: BootTime) {
        match input {
            PlanInput::WriteAcked(sent_at) => self.commit_pending(sent_at),
            PlanInput::WriteNotApplied => self.pending = None,
            PlanInput::WritesLost(epoch) => {
                self.pending = None;
                self.lost_in = Some(epoch);
            }
            PlanInput::Confirmed(sent_at) => self.confirmed_at = self.confirmed_at.max(sent_at),
            PlanInput::MajorityReports => self.majority_reported_at = now,
            PlanInput::Hosts(hosts) => self.hosts = hosts,
            PlanInput::AssignmentVerified if self.doubt == Some(OwnerDoubt::Unverified) => {
                self.doubt = None;
            }
            PlanInput::AssignmentLacksWrites if self.doubt == Some(OwnerDoubt::Unverified) => {
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
                server,
                result,
            } => self.handle_release_result((service, range, token), &server, result, now),
        }
    }

    fn commit_pending(&mut self, sent_at: BootTime) {
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

    fn handle_grant_result(
        &mut self,
        range_id: RangeId,
        server: &ServerInstance,
        result: Result<(), OrderFailure>,
        now: BootTime,
    ) {
        let may_have_arrived = match result {
            Ok(()) | Err(OrderFailure::Unanswered) => true,
            Err(_) => false,
        };
        if may_have_arrived {
            self.lease_bounds
                .record_grant(&range_id.0, server, range_id.1, now, LEASE_DURATION);
        }
        // A renewal that was overtaken by this leader's own raise of the token is refused as well,
        // but its record is no longer current.
        if result == Err(OrderFailure::Superseded)
            && current_range_ids(&self.state).contains(&range_id)
        {
            self.superseded = true;
        }
        self.record_result(server, result.err(), now);
        if let Some(progress) = self.revocations.get_mut(&range_id) {
            progress.in_flight = false;
            match result {
                Ok(()) => progress.step = RevocationStep::Release,
                Err(OrderFailure::OtherServer) => progress.step = RevocationStep::Done,
                Err(_) => progress.due_at = now + ORDER_RETRY_DELAY,
            }
        }
        if let Some(progress) = self.grants.get_mut(&range_id) {
            progress.in_flight = false;
            progress.due_at = match result {
                Ok(()) => now + RENEW_INTERVAL,
                Err(_) => now + ORDER_RETRY_DELAY,
            };
        }
        if result.is_ok() {
            self.handovers.remove(&range_id);
        }
    }

    fn handle_release_result(
        &mut self,
        range_id: RangeId,
        server: &ServerInstance,
        result: Result<Option<String>, OrderFailure>,
        now: BootTime,
    ) {
        self.record_result(server, result.as_ref().err().copied(), now);
        let Some(progress) = self.revocations.get_mut(&range_id) else {
            return;
        };
        progress.in_flight = false;
        match (result, progress.step) {
            (Ok(handover), RevocationStep::Release) => {
                progress.step = RevocationStep::Done;
                progress.handover = handover;
            }
            (Err(OrderFailure::OtherServer), _) => progress.step = RevocationStep::Done,
            // The release was sent before the token was raised, as the server did not respond or
            // no token was left. The usual steps follow.
            (Ok(_), _) => {}
            (Err(_), _) => progress.due_at = now + ORDER_RETRY_DELAY,
        }
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
            next_state.withdraw_all();
            next_state.change += 1;
            self.pending = Some(next_state.clone());
            actions.push(PlanAction::Write(Box::new(next_state)));
        }
        if awaits_unknown_owners || self.must_withdraw {
            return actions;
        }
        self.renew(plan_context, now, &mut actions);
        self.revoke(now, &mut actions);
        if self.pending.is_none()
            && now.since(self.planned_at) >= PLANNING_INTERVAL
            && let Some(next_state) = self.plan_next_state(plan_context, now)
        {
            self.pending = Some(next_state.clone());
            actions.push(PlanAction::Write(Box::new(next_state)));
        }
        actions
    }

    /// Renews the leases of all owners in the acknowledged assignment.
    fn renew(
        &mut self,
        plan_context: PlanContext<'_>,
        now: BootTime,
        actions: &mut Vec<PlanAction>,
    ) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Owned { owner, token } = &record.phase else {
                    continue;
                };
                // A range that the pending write changes gets no more renewals.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                if self.ended_instances.contains(owner) || instance_ended(plan_context.fleet, owner)
                {
                    continue;
                }
                // An unresponsive server gets no renewals: each could extend its lease.
                if self
                    .responsiveness
                    .get(owner)
                    .is_some_and(|responsiveness| responsiveness.is_unresponsive(now))
                {
                    continue;
                }
                let range_id = (service.clone(), record.range, *token);
                let progress = self.grants.entry(range_id.clone()).or_default();
                if progress.in_flight || now < progress.due_at {
                    continue;
                }
                progress.in_flight = true;
                actions.push(PlanAction::Grant {
                    service: service.clone(),
                    server: owner.clone(),
                    range: record.range,
                    token: *token,
                    token_offset: 0,
                    lease: LEASE_DURATION,
                    handover: self.handovers.get(&range_id).cloned(),
                });
            }
        }
    }

    /// Revokes the moving ranges from their owners.
    fn revoke(&mut self, now: BootTime, actions: &mut Vec<PlanAction>) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Moving { owner, token, .. } = &record.phase else {
                    continue;
                };
                // The pending write names the next owner, so the old one has lost the range;
                // raising the token with a grant would give it back.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                let range_id = (service.clone(), record.range, *token);
                let progress = self.revocations.entry(range_id).or_default();
                if progress.in_flight
                    || now < progress.due_at
                    || progress.step == RevocationStep::Done
                {
                    continue;
                }
                let unresponsive = self
                    .responsiveness
                    .get(owner)
                    .is_some_and(|responsiveness| responsiveness.is_unresponsive(now));
                let (service, server, range, token) =
                    (service.clone(), owner.clone(), record.range, *token);
                // A release, unlike a grant, cannot extend the lease, so an unresponsive server
                // gets only releases. The same holds when no token is left to raise to: the
                // range then moves when the lease has ended.
                let token_offset = progress.raises_sent;
                let release_only = unresponsive
                    || (progress.step == RevocationStep::RaiseToken
                        && token_offset + 1 >= TOKENS_PER_MOVE);
                progress.in_flight = true;
                progress.is_grant = progress.step == RevocationStep::RaiseToken && !release_only;
                actions.push(match progress.step {
                    RevocationStep::RaiseToken if !release_only => {
                        progress.raises_sent += 1;
                        PlanAction::Grant {
                            service,
                            server,
                            range,
                            token,
                            token_offset,
                            lease: LEASE_DURATION,
                            handover: None,
                        }
                    }
                    _ => PlanAction::Release {
                        service,
                        server,
                        range,
                        token,
                        token_offset: token_offset.saturating_sub(1),
                        limit: match unresponsive {
                            true => ORDER_TIMEOUT,
                            false => RELEASE_TIMEOUT,
                        },
                    },
                });
            }
        }
    }

    /// Computes the next assignment; `None` if it equals the acknowledged one.
    fn plan_next_state(
        &mut self,
        plan_context: PlanContext<'_>,
        now: BootTime,
    ) -> Option<OwnerState> {
        let mut next_state = self.state.clone();
        if let Some(epoch) = self.lost_in {
            next_state.enter_epoch(epoch);
        }
        let first_token = next_state.first_token();
        let mut moves_chosen = false;
        self.planned_at = now;
        self.track_fleet_size(plan_context, now);
        for service in plan_context.services {
            let owners = next_state
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceOwners::new(first_token));
            let assignable = self.assignable_servers(plan_context, service, owners, now);
            self.complete_moves(plan_context, service, owners, &assignable, now);
            moves_chosen |= self.start_moves(plan_context, service, owners, &assignable, now);
            owners.merge();
        }
        if moves_chosen {
            self.moves_chosen_at = now;
        }
        if self.balance_due(now) {
            self.balanced_at = now;
        }
        if next_state == self.state && self.lost_in.is_none() {
            return None;
        }
        next_state.change += 1;
        next_state.hosts = self.hosts;
        Some(next_state)
    }

    fn balance_due(&self, now: BootTime) -> bool {
        now.since(self.balanced_at) >= BALANCE_INTERVAL
    }

    /// Servers of the service that can take keys: ready, responsive and not ended.
    fn assignable_servers(
        &self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &ServiceOwners,
        now: BootTime,
    ) -> Vec<AssignableServer> {
        let mut assignable = Vec::new();
        let owning_instances: HashSet<&ServerInstance> = owners
            .ranges
            .iter()
            .filter_map(|record| match &record.phase {
                RangePhase::Owned { owner, .. } => Some(owner),
                RangePhase::Moving { .. } | RangePhase::Free => None,
            })
            .collect();
        for entry in plan_context.fleet.entries() {
            if entry.service != *service || entry.phase != ServerPhase::Ready {
                continue;
            }
            let instance = ServerInstance {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
            };
            if self.is_unresponsive(&instance, now) || self.ended_instances.contains(&instance) {
                continue;
            }
            let known = plan_context.capacity.get(&entry.id).copied();
            let capacity = known.unwrap_or(entry.slots as f32).max(0.1);
            let empty = !owning_instances.contains(&instance);
            assignable.push(AssignableServer {
                instance,
                capacity,
                empty,
            });
        }
        assignable
    }

    fn track_fleet_size(&mut self, plan_context: PlanContext<'_>, now: BootTime) {
        let size = plan_context.fleet.entries().count();
        if size > self.fleet_size {
            self.fleet_grew_at = now;
        }
        self.fleet_size = size;
    }

    /// Whether the first assignment need not wait for more servers.
    fn is_fleet_settled(&self, owners: &ServiceOwners, now: BootTime) -> bool {
        let is_unassigned = owners
            .ranges
            .iter()
            .all(|record| record.phase == RangePhase::Free);
        !is_unassigned
            || now.since(self.fleet_grew_at) >= INITIAL_FLEET_SETTLE_TIME
            || now.since(self.started_at) >= INITIAL_FLEET_MAX_WAIT
    }

    /// Assigns moving ranges that no server can hold any more to their next owners.
    fn complete_moves(
        &mut self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        assignable: &[AssignableServer],
        now: BootTime,
    ) {
        let next_token = &mut owners.next_token;
        for record in &mut owners.ranges {
            let RangePhase::Moving {
                owner,
                token,
                target,
            } = &record.phase
            else {
                continue;
            };
            let range_id = (service.clone(), record.range, *token);
            let progress = self.revocations.get(&range_id);
            let raise_in_flight =
                progress.is_some_and(|progress| progress.in_flight && progress.is_grant);
            let released = progress.is_some_and(|progress| progress.step == RevocationStep::Done);
            let expired = || {
                !raise_in_flight
                    && now > self.lease_bounds.latest_end(service, owner, record.range)
                    && !self.has_renewal_in_flight(service, record.range)
            };
            if !(released || self.has_ended(plan_context.fleet, owner) || expired()) {
                continue;
            }
            let handover = progress.and_then(|progress| progress.handover.clone());
            let is_assignable = |instance: &ServerInstance| {
                assignable
                    .iter()
                    .any(|candidate| candidate.instance == *instance)
            };
            record.phase = match target.clone().filter(is_assignable) {
                Some(target) => {
                    let token = *next_token;
                    *next_token += 1;
                    if let Some(handover) = handover {
                        self.handovers
                            .insert((service.clone(), record.range, token), handover);
                    }
                    RangePhase::Owned {
                        owner: target,
                        token,
                    }
                }
                None => RangePhase::Free,
            };
        }
    }

    /// Whether a renewal for keys of the range may still reach a server.
    fn has_renewal_in_flight(&self, service: &ServiceName, range: KeyRange) -> bool {
        self.grants.iter().any(|((name, granted, _), progress)| {
            progress.in_flight && name == service && granted.overlaps(range)
        })
    }

    /// Starts moving ranges whose owner is draining, unresponsive or overloaded, and assigns
    /// free ranges.
    ///
    /// Returns `false` if it was too early to choose moves.
    fn start_moves(
        &mut self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        assignable: &[AssignableServer],
        now: BootTime,
    ) -> bool {
        for record in &mut owners.ranges {
            if let RangePhase::Owned { owner, .. } = &record.phase
                && self.has_ended(plan_context.fleet, owner)
            {
                record.phase = RangePhase::Free;
            }
        }
        let has_unowned = owners.ranges.iter().any(|record| match &record.phase {
            RangePhase::Free => true,
            RangePhase::Owned { owner, .. } => !assignable
                .iter()
                .any(|candidate| candidate.instance == *owner),
            RangePhase::Moving { .. } => false,
        });
        let due = match has_unowned {
            true => now.since(self.moves_chosen_at) >= UNOWNED_PLACEMENT_INTERVAL,
            false => self.balance_due(now),
        };
        if !due || !self.is_fleet_settled(owners, now) {
            return false;
        }
        let no_load = RangeLoad::new(now);
        let load = self.loads.get(service).unwrap_or(&no_load);
        for planned in choose_moves(&owners.ranges, load, assignable) {
            Self::start_move(owners, planned.range, &planned.target);
        }
        true
    }

    /// Assigns the free keys of `range` to `target`, and marks owned ones as moving to it.
    fn start_move(owners: &mut ServiceOwners, range: KeyRange, target: &ServerInstance) {
        for at in owners.isolate(range) {
            let token = owners.reserve_tokens(TOKENS_PER_MOVE);
            let record = &mut owners.ranges[at];
            record.phase = match &record.phase {
                RangePhase::Free => RangePhase::Owned {
                    owner: target.clone(),
                    token,
                },
                RangePhase::Owned { owner, .. } if owner == target => continue,
                RangePhase::Owned { owner, .. } => RangePhase::Moving {
                    owner: owner.clone(),
                    token,
                    target: Some(target.clone()),
                },
                RangePhase::Moving { .. } => continue,
            };
        }
    }
}

/// Ids of all records that have a token.
fn current_range_ids(state: &OwnerState) -> HashSet<RangeId> {
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

/// Whether the pending write, if any, leaves the phase of all keys of the record as it is.
fn is_unchanged(pending: Option<&OwnerState>, service: &ServiceName, record: &RangeRecord) -> bool {
    let Some(pending) = pending else {
        return true;
    };
    let Some(owners) = pending.services.get(service) else {
        return false;
    };
    // Split and merged records count as unchanged if all keys keep their phase.
    owners
        .overlapping(record.range)
        .iter()
        .all(|other| other.phase == record.phase)
}

/// Whether the fleet shows that the instance has ended: its id has a new incarnation, or
/// its address, which is reused only after its end, belongs to another server.
fn instance_ended(fleet: &FleetView, instance: &ServerInstance) -> bool {
    if let Some(entry) = fleet.get(&instance.id) {
        return entry.incarnation != instance.incarnation;
    }
    fleet
        .entries()
        .any(|entry| entry.address == instance.address)
}
