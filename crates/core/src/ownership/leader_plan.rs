//! What the leader does: renewals, moves and writes of the assignment.
//!
//! The plan holds the assignment that the store has acknowledged and at most one
//! write whose answer is awaited. Grants follow the acknowledged assignment only.
//! Answers of servers, the fleet and the time go in; orders and writes come out.

use {
    super::{
        AUTHORITY_LIMIT, CALL_LIMIT, GRANT_HOLD, KeyRange, LeaseBounds, OwnerState, RENEW_INTERVAL,
        RangeLoad, RangePhase, RangeRecord, ServerLife, ServerRoom, ServiceOwners, choose_moves,
    },
    crate::{
        fleet::{FleetView, ServerPhase},
        ids::{ServerId, ServiceName},
        time::BootTime,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Pause before an order that failed is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(250);

/// Failed renewals in a row after which a server counts as silent.
const SILENT_FAILURES: u32 = 2;

/// Interval at which load is evened out: long enough to see the effect of a move.
const BALANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest wait for the answer to a release, which comes when running work has ended.
const RELEASE_LIMIT: Duration = GRANT_HOLD;

/// Time after a takeover in which servers may be listed late.
const SETTLE_TIME: Duration = Duration::from_millis(300);

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
    /// The write was not done.
    WriteDropped,
    /// The store confirmed at a call sent then that this host is the leader.
    Confirmed(BootTime),
    /// A grant was answered or failed.
    GrantDone {
        /// Service.
        service: ServiceName,
        /// Keys.
        range: KeyRange,
        /// Token.
        token: u64,
        /// Server.
        server: ServerLife,
        /// Outcome.
        result: Result<(), OrderFailure>,
    },
    /// A release was answered, with the state to hand over, or failed.
    ReleaseDone {
        /// Service.
        service: ServiceName,
        /// Keys.
        range: KeyRange,
        /// Token.
        token: u64,
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
        server: ServerLife,
        /// Its address.
        address: SocketAddr,
        /// Keys.
        range: KeyRange,
        /// Token.
        token: u64,
        /// Lease.
        hold: Duration,
        /// State of the former owner.
        handover: Option<String>,
    },
    /// Take keys back.
    Release {
        /// Service.
        service: ServiceName,
        /// Server.
        server: ServerLife,
        /// Its address.
        address: SocketAddr,
        /// Keys.
        range: KeyRange,
        /// Token.
        token: u64,
        /// Longest wait for the answer.
        limit: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct GrantTrack {
    in_flight: bool,
    answered: bool,
    failures: u32,
    due: BootTime,
}

/// Steps of taking a range back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ClearStep {
    /// A release asks a silent server for a sign of life.
    Probe,
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
    due: BootTime,
    handover: Option<String>,
}

/// Plan of the leader in one term.
#[derive(Clone, Debug)]
pub struct LeaderPlan {
    state: OwnerState,
    pending: Option<OwnerState>,
    bounds: LeaseBounds,
    started_at: BootTime,
    confirmed_at: BootTime,
    balanced_at: BootTime,
    grants: HashMap<RangeKey, GrantTrack>,
    clears: HashMap<RangeKey, ClearTrack>,
    handovers: HashMap<RangeKey, String>,
    loads: BTreeMap<ServiceName, RangeLoad>,
    moved_keys: u64,
    superseded: bool,
}

/// What the plan looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlanWorld<'a> {
    /// Servers.
    pub fleet: &'a FleetView,
    /// Keyed services of the configuration.
    pub services: &'a [ServiceName],
    /// Load that keeps a server fully busy, by server, in the unit of [`RangeLoad`].
    pub capacity: &'a HashMap<ServerId, f32>,
}

impl LeaderPlan {
    /// Plan after a takeover that the store acknowledged.
    ///
    /// Until `predecessor_end` an earlier leader may still renew grants.
    pub fn new(state: OwnerState, predecessor_end: BootTime, now: BootTime) -> Self {
        Self {
            state,
            pending: None,
            bounds: LeaseBounds::new(predecessor_end),
            started_at: now,
            confirmed_at: now,
            balanced_at: now,
            grants: HashMap::new(),
            clears: HashMap::new(),
            handovers: HashMap::new(),
            loads: BTreeMap::new(),
            moved_keys: 0,
            superseded: false,
        }
    }

    /// Acknowledged assignment.
    pub fn state(&self) -> &OwnerState {
        &self.state
    }

    /// Keys that changed owner in this term.
    pub fn moved_keys(&self) -> u64 {
        self.moved_keys
    }

    /// Whether a server has seen a token of a later leader.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether grants may be renewed: the store has named this leader recently.
    pub fn has_authority(&self, now: BootTime) -> bool {
        now.since(self.confirmed_at) < AUTHORITY_LIMIT
    }

    /// Time since the store last confirmed this leader.
    pub fn confirmed_age(&self, now: BootTime) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Owners with grants, and how many of them do not answer.
    pub fn silent_owners(&self) -> (usize, usize) {
        let mut failing: BTreeMap<&ServerLife, bool> = BTreeMap::new();
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Owned { owner, token } = &record.phase else {
                    continue;
                };
                let key = (service.clone(), record.range, *token);
                let silent = self
                    .grants
                    .get(&key)
                    .is_some_and(|track| track.failures >= SILENT_FAILURES);
                *failing.entry(owner).or_default() |= silent;
            }
        }
        let silent = failing.values().filter(|silent| **silent).count();
        (failing.len(), silent)
    }

    /// Counts requests for a key.
    pub fn count(&mut self, service: &ServiceName, key: u16, requests: u32, now: BootTime) {
        self.loads
            .entry(service.clone())
            .or_insert_with(|| RangeLoad::new(now))
            .add(key, requests);
    }

    /// Takes an event.
    pub fn take(&mut self, input: PlanInput, now: BootTime) {
        match input {
            PlanInput::WriteAcked(sent_at) => self.adopt_pending(sent_at),
            PlanInput::WriteDropped => self.pending = None,
            PlanInput::Confirmed(sent_at) => self.confirmed_at = self.confirmed_at.max(sent_at),
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
                result,
            } => self.release_done((service, range, token), result, now),
        }
    }

    fn adopt_pending(&mut self, sent_at: BootTime) {
        let Some(state) = self.pending.take() else {
            return;
        };
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.state = state;
        let live: Vec<RangeKey> = live_keys(&self.state);
        self.grants
            .retain(|key, track| track.in_flight || live.contains(key));
        self.clears
            .retain(|key, track| track.in_flight || live.contains(key));
        self.handovers.retain(|key, _| live.contains(key));
    }

    fn grant_done(
        &mut self,
        key: RangeKey,
        server: &ServerLife,
        result: Result<(), OrderFailure>,
        now: BootTime,
    ) {
        let arrived = match result {
            Ok(()) | Err(OrderFailure::Unanswered) => true,
            Err(_) => false,
        };
        if arrived {
            self.bounds.note(&key.0, server, key.1, now, GRANT_HOLD);
        }
        // A renewal that crossed this leader's own raise of the token is refused, too.
        if result == Err(OrderFailure::Superseded) && live_keys(&self.state).contains(&key) {
            self.superseded = true;
        }
        if let Some(track) = self.clears.get_mut(&key) {
            track.in_flight = false;
            match result {
                Ok(()) => track.step = ClearStep::Release,
                Err(OrderFailure::OtherServer) => track.step = ClearStep::Done,
                Err(_) => {
                    track.step = ClearStep::Probe;
                    track.due = now + ORDER_PAUSE;
                }
            }
        }
        if let Some(track) = self.grants.get_mut(&key) {
            track.in_flight = false;
            match result {
                Ok(()) => {
                    track.answered = true;
                    track.failures = 0;
                    track.due = now + RENEW_INTERVAL;
                }
                Err(_) => {
                    track.failures += 1;
                    track.due = now + ORDER_PAUSE;
                }
            }
        }
        if result.is_ok() {
            self.handovers.remove(&key);
        }
    }

    fn release_done(
        &mut self,
        key: RangeKey,
        result: Result<Option<String>, OrderFailure>,
        now: BootTime,
    ) {
        let Some(track) = self.clears.get_mut(&key) else {
            return;
        };
        track.in_flight = false;
        match (result, track.step) {
            (Ok(_), ClearStep::Probe) => track.step = ClearStep::Raise,
            (Ok(handover), _) => {
                track.step = ClearStep::Done;
                track.handover = handover;
            }
            (Err(OrderFailure::OtherServer), _) => track.step = ClearStep::Done,
            (Err(_), _) => track.due = now + ORDER_PAUSE,
        }
    }

    /// Orders and writes that are due.
    pub fn poll(&mut self, world: PlanWorld<'_>, now: BootTime) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        for load in self.loads.values_mut() {
            load.fade(now);
        }
        self.bounds.expire(now);
        if !self.has_authority(now) || self.superseded {
            return actions;
        }
        self.renew(world, now, &mut actions);
        self.clear(now, &mut actions);
        if self.pending.is_none()
            && let Some(draft) = self.draft(world, now)
        {
            self.pending = Some(draft.clone());
            actions.push(PlanAction::Write(Box::new(draft)));
        }
        actions
    }

    /// Renews the grants of the acknowledged assignment.
    fn renew(&mut self, world: PlanWorld<'_>, now: BootTime, actions: &mut Vec<PlanAction>) {
        for (service, owners) in &self.state.services {
            for record in &owners.ranges {
                let RangePhase::Owned { owner, token } = &record.phase else {
                    continue;
                };
                // A range that the pending write moves is not renewed any more.
                if !still_owned(self.pending.as_ref(), service, record) {
                    continue;
                }
                if life_ended(world.fleet, owner) {
                    continue;
                }
                let address = owner.address;
                let key = (service.clone(), record.range, *token);
                let track = self.grants.entry(key.clone()).or_default();
                // A silent server is not asked again: each order could prolong its lease.
                if track.in_flight || now < track.due || track.failures >= SILENT_FAILURES {
                    continue;
                }
                track.in_flight = true;
                actions.push(PlanAction::Grant {
                    service: service.clone(),
                    server: owner.clone(),
                    address,
                    range: record.range,
                    token: *token,
                    hold: GRANT_HOLD,
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
                let key = (service.clone(), record.range, *token);
                let track = self.clears.entry(key).or_default();
                if track.in_flight || now < track.due || track.step == ClearStep::Done {
                    continue;
                }
                let address = owner.address;
                let (service, server, range, token) =
                    (service.clone(), owner.clone(), record.range, *token);
                let limit = match track.step {
                    ClearStep::Probe => CALL_LIMIT,
                    _ => RELEASE_LIMIT,
                };
                track.in_flight = true;
                actions.push(match track.step {
                    ClearStep::Raise => PlanAction::Grant {
                        service,
                        server,
                        address,
                        range,
                        token,
                        hold: GRANT_HOLD,
                        handover: None,
                    },
                    _ => PlanAction::Release {
                        service,
                        server,
                        address,
                        range,
                        token,
                        limit,
                    },
                });
            }
        }
    }

    /// Next assignment, if it differs.
    fn draft(&mut self, world: PlanWorld<'_>, now: BootTime) -> Option<OwnerState> {
        let mut draft = self.state.clone();
        for service in world.services {
            let owners = draft
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceOwners::new(1));
            let rooms = self.rooms(world, service, owners);
            self.settle_moves(world, service, owners, &rooms, now);
            self.start_moves(world, service, owners, &rooms, now);
            owners.merge();
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
        world: PlanWorld<'_>,
        service: &ServiceName,
        owners: &ServiceOwners,
    ) -> Vec<ServerRoom> {
        let mut rooms = Vec::new();
        for entry in world.fleet.entries() {
            if entry.service != *service || entry.phase != ServerPhase::Ready {
                continue;
            }
            let life = ServerLife {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
            };
            if self.is_silent(service, owners, &life) {
                continue;
            }
            let known = world.capacity.get(&entry.id).copied();
            let capacity = known.unwrap_or(entry.slots as f32).max(0.1);
            let empty = !owners.ranges.iter().any(
                |record| matches!(&record.phase, RangePhase::Owned { owner, .. } if *owner == life),
            );
            rooms.push(ServerRoom {
                life,
                capacity,
                empty,
            });
        }
        rooms
    }

    fn is_silent(&self, service: &ServiceName, owners: &ServiceOwners, life: &ServerLife) -> bool {
        let granted = owners.ranges.iter().any(|record| {
            let RangePhase::Owned { owner, token } = &record.phase else {
                return false;
            };
            let key = (service.clone(), record.range, *token);
            let track = self.grants.get(&key);
            owner == life && track.is_some_and(|track| track.failures >= SILENT_FAILURES)
        });
        let clearing = owners.ranges.iter().any(|record| {
            let RangePhase::Moving { owner, token, .. } = &record.phase else {
                return false;
            };
            let key = (service.clone(), record.range, *token);
            let track = self.clears.get(&key);
            owner == life && track.is_some_and(|track| track.step == ClearStep::Probe)
        });
        granted || clearing
    }

    /// Gives ranges that nobody holds any more to their next owner.
    fn settle_moves(
        &mut self,
        world: PlanWorld<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        rooms: &[ServerRoom],
        now: BootTime,
    ) {
        let next_token = &mut owners.next_token;
        for record in &mut owners.ranges {
            let renewing = self.grants.iter().any(|((name, range, _), track)| {
                track.in_flight && name == service && range.overlaps(record.range)
            });
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
            let in_flight = track.is_some_and(|track| track.in_flight);
            let released = track.is_some_and(|track| track.step == ClearStep::Done);
            let expired =
                !in_flight && !renewing && now > self.bounds.end(service, owner, record.range);
            if !(released || expired || life_ended(world.fleet, owner)) {
                continue;
            }
            let handover = track.and_then(|track| track.handover.clone());
            let alive = |life: &ServerLife| rooms.iter().any(|room| room.life == *life);
            record.phase = match target.clone().filter(alive) {
                Some(target) => {
                    let token = *next_token;
                    *next_token += 1;
                    self.moved_keys += u64::from(record.range.keys());
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

    /// Marks ranges as moving whose owner leaves, is silent or is too busy.
    fn start_moves(
        &mut self,
        world: PlanWorld<'_>,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        rooms: &[ServerRoom],
        now: BootTime,
    ) {
        for record in &mut owners.ranges {
            if let RangePhase::Owned { owner, .. } = &record.phase
                && life_ended(world.fleet, owner)
            {
                record.phase = RangePhase::Free;
            }
        }
        let orphaned = owners.ranges.iter().any(|record| match &record.phase {
            RangePhase::Free => true,
            RangePhase::Owned { owner, .. } => !rooms.iter().any(|room| room.life == *owner),
            RangePhase::Moving { .. } => false,
        });
        let settled = now.since(self.started_at) >= SETTLE_TIME;
        if !settled || !(orphaned || self.balance_due(now)) {
            return;
        }
        let empty = RangeLoad::new(now);
        let load = self.loads.get(service).unwrap_or(&empty);
        for planned in choose_moves(&owners.ranges, load, rooms) {
            self.start_move(service, owners, planned.range, &planned.target);
        }
    }

    fn start_move(
        &mut self,
        service: &ServiceName,
        owners: &mut ServiceOwners,
        range: KeyRange,
        target: &ServerLife,
    ) {
        for at in owners.isolate(range) {
            let token = owners.take_token();
            let record = &mut owners.ranges[at];
            record.phase = match &record.phase {
                RangePhase::Free => RangePhase::Owned {
                    owner: target.clone(),
                    token,
                },
                RangePhase::Owned { owner, .. } if owner == target => continue,
                RangePhase::Owned { owner, token: held } => {
                    let silent =
                        self.grants
                            .iter()
                            .any(|((name, held_range, held_token), track)| {
                                name == service
                                    && held_token == held
                                    && held_range.contains(record.range.first)
                                    && track.failures > 0
                            });
                    let key = (service.clone(), record.range, token);
                    let step = match silent {
                        true => ClearStep::Probe,
                        false => ClearStep::Raise,
                    };
                    self.clears.insert(
                        key,
                        ClearTrack {
                            step,
                            ..ClearTrack::default()
                        },
                    );
                    RangePhase::Moving {
                        owner: owner.clone(),
                        token,
                        target: Some(target.clone()),
                    }
                }
                RangePhase::Moving { .. } => continue,
            };
        }
    }
}

fn live_keys(state: &OwnerState) -> Vec<RangeKey> {
    let mut keys = Vec::new();
    for (service, owners) in &state.services {
        for record in &owners.ranges {
            let token = match &record.phase {
                RangePhase::Owned { token, .. } | RangePhase::Moving { token, .. } => *token,
                RangePhase::Free => continue,
            };
            keys.push((service.clone(), record.range, token));
        }
    }
    keys
}

fn still_owned(pending: Option<&OwnerState>, service: &ServiceName, record: &RangeRecord) -> bool {
    let Some(pending) = pending else {
        return true;
    };
    let Some(owners) = pending.services.get(service) else {
        return false;
    };
    // Splits and merges do not matter, only whether all keys stay with this phase.
    owners
        .ranges
        .iter()
        .filter(|other| other.range.overlaps(record.range))
        .all(|other| other.phase == record.phase)
}

/// Whether the fleet proves that the incarnation is over: its id has started again,
/// or its address, which is reused only after its end, belongs to another server.
fn life_ended(fleet: &FleetView, life: &ServerLife) -> bool {
    if let Some(entry) = fleet.get(&life.id) {
        return entry.incarnation != life.incarnation;
    }
    fleet.entries().any(|entry| entry.address == life.address)
}
