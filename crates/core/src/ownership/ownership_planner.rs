//! What the leader does: renewals, moves and writes of the assignment.
//!
//! The plan holds the assignment that the store has acknowledged and at most one
//! write whose answer is awaited. Grants follow the acknowledged assignment only.
//! Answers of servers, the fleet and the time go in; orders and writes come out.

use {
    super::{
        AUTHORITY_LIMIT, AUTHORITY_LIMIT_WITHOUT_MAJORITY, KeyRange, LEASE_DURATION, LeaseBounds,
        MAJORITY_REPORT_MAX_AGE, ORDER_TIMEOUT, OwnerState, RENEW_INTERVAL, RangeLoad, RangePhase,
        RangeRecord, ServerInstance, ServerRoom, ServiceOwners, choose_moves,
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

/// Pause before an order that failed is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(100);

/// Time without any answer after which a server counts as silent. Three orders fit
/// in; with the lease of the last one, keys are served again within 5 s of a loss.
const SILENT_LIMIT: Duration = Duration::from_millis(1_300);

/// Tokens kept for taking one range back. Each try that got no answer may be carried
/// out later, so the next one needs a higher token.
pub(super) const RAISE_TOKENS: u64 = 16;

/// Time without a new server after which the first assignment is made, so that it
/// covers the servers that start together.
const FIRST_FLEET_QUIET: Duration = Duration::from_millis(1_000);

/// Longest wait for the fleet before the first assignment.
const FIRST_FLEET_LIMIT: Duration = Duration::from_millis(4_000);

/// Interval at which load is evened out: long enough to see the effect of a move.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which keys without an owner are placed: answers of servers come in quick
/// succession, and each choice looks at all keys.
const ORPHAN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the next assignment is worked out; it gathers the steps of many
/// moves into one write.
const DRAFT_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for the answer to a release, which comes when running work has ended.
/// A lost answer is found by asking again.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_200);

type RangeKey = (ServiceName, KeyRange, u64);

/// Why an order failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The server has seen a higher token.
    Superseded,
    /// Another server answers at the address.
    OtherServer,
    /// Nothing was sent.
    NotSent,
    /// The order may have arrived.
    Unanswered,
    /// The server rejects the order.
    Rejected,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum PlanInput {
    /// The store acknowledged the write in a call sent then.
    WriteAcked(BootTime),
    /// The write had no effect on the stored assignment.
    WriteNotApplied,
    /// The store confirmed at a call sent then that this host is the leader.
    Confirmed(BootTime),
    /// Most hosts reported to this leader lately.
    MajorityReports,
    /// An earlier leader acts no longer than this.
    PredecessorEnds(BootTime),
    /// A grant was answered or failed.
    GrantDone {
        /// Service.
        service: ServiceName,
        /// Keys.
        range: KeyRange,
        /// Token.
        token: u64,
        /// Server.
        server: ServerInstance,
        /// Outcome.
        result: Result<(), OrderFailure>,
    },
    /// A release was answered, with the state to hand over, or failed.
    ReleaseDone {
        /// Service.
        service: ServiceName,
        /// Keys.
        range: KeyRange,
        /// Token that marks the move.
        token: u64,
        /// Server.
        server: ServerInstance,
        /// Outcome.
        result: Result<Option<String>, OrderFailure>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// Replace the stored assignment.
    Write(Box<OwnerState>),
    /// Grant or renew keys.
    Grant {
        /// Service.
        service: ServiceName,
        /// Server.
        server: ServerInstance,
        /// Keys.
        range: KeyRange,
        /// Token of the record that the order is for.
        token: u64,
        /// Added to `token` to give the token of the order itself.
        token_offset: u64,
        /// Length of the lease.
        lease: Duration,
        /// State of the former owner.
        handover: Option<String>,
    },
    /// Take keys back.
    Release {
        /// Service.
        service: ServiceName,
        /// Server.
        server: ServerInstance,
        /// Keys.
        range: KeyRange,
        /// Token of the record that the order is for.
        token: u64,
        /// Added to `token` to give the token of the order itself.
        token_offset: u64,
        /// Longest wait for the answer.
        limit: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct GrantTrack {
    in_flight: bool,
    due: BootTime,
}

/// Steps of taking a range back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ClearStep {
    /// A grant with a higher token shuts out renewals of earlier leaders.
    #[default]
    Raise,
    /// A release ends the lease.
    Release,
    /// The server gave the range back.
    Done,
}

#[derive(Clone, Debug, Default)]
struct ClearTrack {
    step: ClearStep,
    in_flight: bool,
    /// The order in flight is a grant.
    granting: bool,
    due: BootTime,
    /// Raises sent so far.
    raises: u64,
    handover: Option<String>,
}

/// Decides, in one term of the leader, which server owns which keys.
#[derive(Clone, Debug)]
pub struct OwnershipPlanner {
    state: OwnerState,
    pending: Option<OwnerState>,
    bounds: LeaseBounds,
    started_at: BootTime,
    confirmed_at: BootTime,
    majority_at: BootTime,
    balanced_at: BootTime,
    /// When moves were last chosen.
    chosen_at: BootTime,
    /// When the next assignment was last worked out.
    drafted_at: BootTime,
    grants: HashMap<RangeKey, GrantTrack>,
    clears: HashMap<RangeKey, ClearTrack>,
    handovers: HashMap<RangeKey, String>,
    loads: BTreeMap<ServiceName, RangeLoad>,
    /// Last answer of each server, and when it was first asked since.
    heard: HashMap<ServerInstance, ServerHeard>,
    /// Servers at whose address another one answers: addresses are used again only after
    /// the end of their last server.
    ended: HashSet<ServerInstance>,
    fleet_size: usize,
    fleet_grew_at: BootTime,
    superseded: bool,
}

#[derive(Clone, Copy, Debug)]
struct ServerHeard {
    answered_at: BootTime,
    /// An order failed since the last answer.
    failed: bool,
}

/// Fleet and configuration that the planner works from.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// Servers.
    pub fleet: &'a FleetView,
    /// Keyed services of the configuration.
    pub services: &'a [ServiceName],
    /// Load that keeps a server fully busy, by server, in the unit of [`RangeLoad`].
    pub capacity: &'a HashMap<ServerId, f32>,
}

impl ServerHeard {
    fn is_silent(self, now: BootTime) -> bool {
        self.failed && now.since(self.answered_at) >= SILENT_LIMIT
    }
}

impl OwnershipPlanner {
    /// Planner after a takeover that the store acknowledged.
    ///
    /// Until `predecessor_end` an earlier leader may still renew grants.
    pub fn new(state: OwnerState, predecessor_end: BootTime, now: BootTime) -> Self {
        Self {
            state,
            pending: None,
            bounds: LeaseBounds::new(predecessor_end),
            started_at: now,
            confirmed_at: now,
            majority_at: BootTime::default(),
            balanced_at: now,
            chosen_at: BootTime::default(),
            drafted_at: BootTime::default(),
            grants: HashMap::new(),
            clears: HashMap::new(),
            handovers: HashMap::new(),
            loads: BTreeMap::new(),
            heard: HashMap::new(),
            ended: HashSet::new(),
            fleet_size: 0,
            fleet_grew_at: now,
            superseded: false,
        }
    }

    /// Acknowledged assignment.
    pub fn state(&self) -> &OwnerState {
        &self.state
    }

    /// Whether a range is in motion, so that each answer brings the next step.
    pub fn has_moves(&self) -> bool {
        let mut records = self
            .state
            .services
            .values()
            .flat_map(|owners| &owners.ranges);
        records.any(|record| matches!(record.phase, RangePhase::Moving { .. }))
    }

    /// Whether a server has seen a token of a later leader.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether grants may be renewed: the store has named this leader recently, or a
    /// successor could not have won most hosts yet.
    pub fn has_authority(&self, now: BootTime) -> bool {
        let age = now.since(self.confirmed_at);
        let supported = now.since(self.majority_at) < MAJORITY_REPORT_MAX_AGE;
        age < AUTHORITY_LIMIT_WITHOUT_MAJORITY || (supported && age < AUTHORITY_LIMIT)
    }

    /// Time since the store last confirmed this leader.
    pub fn confirmed_age(&self, now: BootTime) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Number of owners, and those of them that do not answer orders.
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
        let silent = owners.iter().filter(|owner| self.is_silent(owner, now));
        (owners.len(), silent.map(|owner| (*owner).clone()).collect())
    }

    fn is_silent(&self, server: &ServerInstance, now: BootTime) -> bool {
        let heard = self.heard.get(server);
        heard.is_some_and(|heard| heard.is_silent(now))
    }

    /// Notes what the result of an order tells of its server.
    fn note_result(
        &mut self,
        server: &ServerInstance,
        failure: Option<OrderFailure>,
        now: BootTime,
    ) {
        let answered = match failure {
            Some(OrderFailure::NotSent | OrderFailure::Unanswered) => false,
            Some(OrderFailure::OtherServer) => {
                self.ended.insert(server.clone());
                true
            }
            Some(OrderFailure::Superseded | OrderFailure::Rejected) | None => true,
        };
        let heard = self.heard.entry(server.clone()).or_insert(ServerHeard {
            answered_at: now,
            failed: false,
        });
        if answered {
            heard.answered_at = now;
        }
        heard.failed = !answered;
    }

    /// Whether the incarnation of a server is over for certain.
    fn is_over(&self, fleet: &FleetView, instance: &ServerInstance) -> bool {
        self.ended.contains(instance) || instance_ended(fleet, instance)
    }

    /// Records requests for a key, as load of its range.
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

    /// Handles an event.
    pub fn handle_input(&mut self, input: PlanInput, now: BootTime) {
        match input {
            PlanInput::WriteAcked(sent_at) => self.adopt_pending(sent_at),
            PlanInput::WriteNotApplied => self.pending = None,
            PlanInput::Confirmed(sent_at) => self.confirmed_at = self.confirmed_at.max(sent_at),
            PlanInput::MajorityReports => self.majority_at = now,
            PlanInput::PredecessorEnds(end) => self.bounds.predecessor_ends(end),
            PlanInput::GrantDone {
                service,
                range,
                token,
                server,
                result,
            } => self.grant_done((service, range, token), &server, result, now),
            PlanInput::ReleaseDone {
                service,
                range,
                token,
                server,
                result,
            } => self.release_done((service, range, token), &server, result, now),
        }
    }

    fn adopt_pending(&mut self, sent_at: BootTime) {
        let Some(state) = self.pending.take() else {
            return;
        };
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.state = state;
        let live = live_keys(&self.state);
        self.grants
            .retain(|key, track| track.in_flight || live.contains(key));
        self.clears
            .retain(|key, track| track.in_flight || live.contains(key));
        self.handovers.retain(|key, _| live.contains(key));
    }

    fn grant_done(
        &mut self,
        key: RangeKey,
        server: &ServerInstance,
        result: Result<(), OrderFailure>,
        now: BootTime,
    ) {
        let arrived = match result {
            Ok(()) | Err(OrderFailure::Unanswered) => true,
            Err(_) => false,
        };
        if arrived {
            self.bounds.note(&key.0, server, key.1, now, LEASE_DURATION);
        }
        // A renewal that crossed this leader's own raise of the token is refused, too.
        if result == Err(OrderFailure::Superseded) && live_keys(&self.state).contains(&key) {
            self.superseded = true;
        }
        self.note_result(server, result.err(), now);
        if let Some(track) = self.clears.get_mut(&key) {
            track.in_flight = false;
            match result {
                Ok(()) => track.step = ClearStep::Release,
                Err(OrderFailure::OtherServer) => track.step = ClearStep::Done,
                Err(_) => track.due = now + ORDER_PAUSE,
            }
        }
        if let Some(track) = self.grants.get_mut(&key) {
            track.in_flight = false;
            track.due = match result {
                Ok(()) => now + RENEW_INTERVAL,
                Err(_) => now + ORDER_PAUSE,
            };
        }
        if result.is_ok() {
            self.handovers.remove(&key);
        }
    }

    fn release_done(
        &mut self,
        key: RangeKey,
        server: &ServerInstance,
        result: Result<Option<String>, OrderFailure>,
        now: BootTime,
    ) {
        self.note_result(server, result.as_ref().err().copied(), now);
        let Some(track) = self.clears.get_mut(&key) else {
            return;
        };
        track.in_flight = false;
        match (result, track.step) {
            (Ok(handover), ClearStep::Release) => {
                track.step = ClearStep::Done;
                track.handover = handover;
            }
            (Err(OrderFailure::OtherServer), _) => track.step = ClearStep::Done,
            // A silent server that answers again is asked in the usual order.
            (Ok(_), _) => {}
            (Err(_), _) => track.due = now + ORDER_PAUSE,
        }
    }

    /// Orders and writes that are due.
    pub fn poll(&mut self, plan_context: PlanContext<'_>, now: BootTime) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        for load in self.loads.values_mut() {
            load.decay(now);
        }
        self.bounds.expire(now);
        if !self.has_authority(now) || self.superseded {
            return actions;
        }
        self.renew(plan_context, now, &mut actions);
        self.clear(now, &mut actions);
        if self.pending.is_none()
            && now.since(self.drafted_at) >= DRAFT_INTERVAL
            && let Some(draft) = self.draft(plan_context, now)
        {
            self.pending = Some(draft.clone());
            actions.push(PlanAction::Write(Box::new(draft)));
        }
        actions
    }

    /// Renews the grants of the acknowledged assignment.
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
                // A range that the pending write moves is not renewed any more.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                if self.ended.contains(owner) || instance_ended(plan_context.fleet, owner) {
                    continue;
                }
                // A silent server is not asked again: each order could prolong its lease.
                if self
                    .heard
                    .get(owner)
                    .is_some_and(|heard| heard.is_silent(now))
                {
                    continue;
                }
                let key = (service.clone(), record.range, *token);
                let track = self.grants.entry(key.clone()).or_default();
                if track.in_flight || now < track.due {
                    continue;
                }
                track.in_flight = true;
                actions.push(PlanAction::Grant {
                    service: service.clone(),
                    server: owner.clone(),
                    range: record.range,
                    token: *token,
                    token_offset: 0,
                    lease: LEASE_DURATION,
                    handover: self.handovers.get(&key).cloned(),
                });
            }
        }
    }

    /// Takes back the ranges that move.
    fn clear(&mut self, now: BootTime, actions: &mut Vec<PlanAction>) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Moving { owner, token, .. } = &record.phase else {
                    continue;
                };
                // A range whose next owner is being written has no former owner any more;
                // a raise would give it one.
                if !is_unchanged(self.pending.as_ref(), service, record) {
                    continue;
                }
                let key = (service.clone(), record.range, *token);
                let track = self.clears.entry(key).or_default();
                if track.in_flight || now < track.due || track.step == ClearStep::Done {
                    continue;
                }
                let silent = self
                    .heard
                    .get(owner)
                    .is_some_and(|heard| heard.is_silent(now));
                let (service, server, range, token) =
                    (service.clone(), owner.clone(), record.range, *token);
                // Only a release does not prolong the lease of a silent server. Without
                // tokens left, the end of the lease has to be awaited.
                let token_offset = track.raises;
                let probe =
                    silent || (track.step == ClearStep::Raise && token_offset + 1 >= RAISE_TOKENS);
                track.in_flight = true;
                track.granting = track.step == ClearStep::Raise && !probe;
                actions.push(match track.step {
                    ClearStep::Raise if !probe => {
                        track.raises += 1;
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
                        limit: match silent {
                            true => ORDER_TIMEOUT,
                            false => RELEASE_LIMIT,
                        },
                    },
                });
            }
        }
    }

    /// Next assignment, if it differs.
    fn draft(&mut self, plan_context: PlanContext<'_>, now: BootTime) -> Option<OwnerState> {
        let mut draft = self.state.clone();
        let mut chosen = false;
        self.drafted_at = now;
        self.note_fleet(plan_context, now);
        for service in plan_context.services {
            let owners = draft
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceOwners::new(1));
            let rooms = self.rooms(plan_context, service, owners, now);
            self.settle_moves(plan_context, service, owners, &rooms, now);
            chosen |= self.start_moves(plan_context, service, owners, &rooms, now);
            owners.merge();
        }
        if chosen {
            self.chosen_at = now;
        }
        if self.balance_due(now) {
            self.balanced_at = now;
        }
        if draft == self.state {
            return None;
        }
        draft.change += 1;
        Some(draft)
    }

    fn balance_due(&self, now: BootTime) -> bool {
        now.since(self.balanced_at) >= BALANCE_INTERVAL
    }

    fn rooms(
        &self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &ServiceOwners,
        now: BootTime,
    ) -> Vec<ServerRoom> {
        let mut rooms = Vec::new();
        let owning: HashSet<&ServerInstance> = owners
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
            if self.is_silent(&instance, now) || self.ended.contains(&instance) {
                continue;
            }
            let known = plan_context.capacity.get(&entry.id).copied();
            let capacity = known.unwrap_or(entry.slots as f32).max(0.1);
            let empty = !owning.contains(&instance);
            rooms.push(ServerRoom {
                instance,
                capacity,
                empty,
            });
        }
        rooms
    }

    fn note_fleet(&mut self, plan_context: PlanContext<'_>, now: BootTime) {
        let size = plan_context.fleet.entries().count();
        if size > self.fleet_size {
            self.fleet_grew_at = now;
        }
        self.fleet_size = size;
    }

    /// Whether the servers that start together are likely to be known.
    fn is_fleet_settled(&self, owners: &ServiceOwners, now: BootTime) -> bool {
        let untouched = owners
            .ranges
            .iter()
            .all(|record| record.phase == RangePhase::Free);
        !untouched
            || now.since(self.fleet_grew_at) >= FIRST_FLEET_QUIET
            || now.since(self.started_at) >= FIRST_FLEET_LIMIT
    }

    /// Gives ranges that nobody holds any more to their next owner.
    fn settle_moves(
        &mut self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        rooms: &[ServerRoom],
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
            let key = (service.clone(), record.range, *token);
            let track = self.clears.get(&key);
            let raising = track.is_some_and(|track| track.in_flight && track.granting);
            let released = track.is_some_and(|track| track.step == ClearStep::Done);
            let expired = || {
                !raising
                    && now > self.bounds.end(service, owner, record.range)
                    && !self.is_renewing(service, record.range)
            };
            if !(released || self.is_over(plan_context.fleet, owner) || expired()) {
                continue;
            }
            let handover = track.and_then(|track| track.handover.clone());
            let alive =
                |instance: &ServerInstance| rooms.iter().any(|room| room.instance == *instance);
            record.phase = match target.clone().filter(alive) {
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

    /// Whether a renewal of keys of the range may still arrive.
    fn is_renewing(&self, service: &ServiceName, range: KeyRange) -> bool {
        self.grants.iter().any(|((name, granted, _), track)| {
            track.in_flight && name == service && granted.overlaps(range)
        })
    }

    /// Marks ranges as moving whose owner leaves, is silent or is too busy; `true` if
    /// moves were chosen.
    fn start_moves(
        &mut self,
        plan_context: PlanContext<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        rooms: &[ServerRoom],
        now: BootTime,
    ) -> bool {
        for record in &mut owners.ranges {
            if let RangePhase::Owned { owner, .. } = &record.phase
                && self.is_over(plan_context.fleet, owner)
            {
                record.phase = RangePhase::Free;
            }
        }
        let orphaned = owners.ranges.iter().any(|record| match &record.phase {
            RangePhase::Free => true,
            RangePhase::Owned { owner, .. } => !rooms.iter().any(|room| room.instance == *owner),
            RangePhase::Moving { .. } => false,
        });
        let due = match orphaned {
            true => now.since(self.chosen_at) >= ORPHAN_INTERVAL,
            false => self.balance_due(now),
        };
        if !due || !self.is_fleet_settled(owners, now) {
            return false;
        }
        let empty = RangeLoad::new(now);
        let load = self.loads.get(service).unwrap_or(&empty);
        for planned in choose_moves(&owners.ranges, load, rooms) {
            Self::start_move(owners, planned.range, &planned.target);
        }
        true
    }

    fn start_move(owners: &mut ServiceOwners, range: KeyRange, target: &ServerInstance) {
        for at in owners.isolate(range) {
            let token = owners.take_tokens(RAISE_TOKENS);
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

fn live_keys(state: &OwnerState) -> HashSet<RangeKey> {
    let mut keys = HashSet::new();
    for (service, owners) in &state.services {
        for record in &owners.ranges {
            let token = match &record.phase {
                RangePhase::Owned { token, .. } | RangePhase::Moving { token, .. } => *token,
                RangePhase::Free => continue,
            };
            keys.insert((service.clone(), record.range, token));
        }
    }
    keys
}

/// Whether the pending write leaves the record as it is.
fn is_unchanged(pending: Option<&OwnerState>, service: &ServiceName, record: &RangeRecord) -> bool {
    let Some(pending) = pending else {
        return true;
    };
    let Some(owners) = pending.services.get(service) else {
        return false;
    };
    // Splits and merges do not matter, only whether all keys stay with this phase.
    owners
        .overlapping(record.range)
        .iter()
        .all(|other| other.phase == record.phase)
}

/// Whether the fleet proves that the incarnation is over: its id has started again,
/// or its address, which is reused only after its end, belongs to another server.
fn instance_ended(fleet: &FleetView, instance: &ServerInstance) -> bool {
    if let Some(entry) = fleet.get(&instance.id) {
        return entry.incarnation != instance.incarnation;
    }
    fleet
        .entries()
        .any(|entry| entry.address == instance.address)
}
