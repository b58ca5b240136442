//! Drives the leader's ownership planner with a fixed fleet and simulated time.
#![allow(dead_code)]

use {
    camphorcove_core::{
        fleet::{EvacuationTable, FleetView, ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName},
        ownership::{
            KeyRange, OrderFailure, OwnerState, OwnershipPlanner, PlanAction, PlanContext,
            PlanInput, RangePhase, RangeRecord, ServerInstance, ServiceOwners,
        },
        time::BootTime,
    },
    std::{collections::HashMap, time::Duration},
};

pub const START: BootTime = BootTime::from_millis(100_000);

/// Interval at which the planner is polled.
pub const STEP: Duration = Duration::from_millis(50);

pub fn service() -> ServiceName {
    "boats".parse().expect("valid name")
}

pub fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("s-{number}").parse().expect("valid id"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    }
}

pub fn entry(instance: ServerInstance, service: ServiceName) -> ServerEntry {
    ServerEntry {
        id: instance.id,
        incarnation: instance.incarnation,
        service,
        address: instance.address,
        zone: "z".parse().expect("valid name"),
        slots: 3,
        phase: ServerPhase::Ready,
        warmup: Duration::ZERO,
    }
}

pub fn fleet(numbers: &[u16]) -> FleetView {
    let mut fleet = FleetView::default();
    for number in numbers {
        fleet.upsert(entry(instance(*number), service()), START);
    }
    fleet
}

pub fn owned_state(records: &[(u16, u16, u16, u64)]) -> OwnerState {
    let mut state = OwnerState::new(String::new());
    let ranges = records.iter().map(|(first, last, owner, token)| {
        let range = KeyRange {
            first: *first,
            last: *last,
        };
        let phase = RangePhase::Owned {
            owner: instance(*owner),
            token: *token,
        };
        RangeRecord { range, phase }
    });
    let owners = ServiceOwners {
        next_token: 100,
        ranges: ranges.collect(),
    };
    state.services.insert(service(), owners);
    state
}

/// Server with another id and start at the address of server 0.
pub fn other_start(incarnation: u64) -> ServerInstance {
    ServerInstance {
        id: "s-other".parse().expect("valid id"),
        incarnation,
        address: instance(0).address,
    }
}

/// Drives a planner with a fixed fleet and simulated time.
pub struct PlannerDriver {
    pub planner: OwnershipPlanner,
    pub fleet: FleetView,
    pub evacuations: EvacuationTable,
    pub fleet_is_behind: bool,
    pub now: BootTime,
}

impl PlannerDriver {
    pub fn new(state: OwnerState, servers: &[u16]) -> Self {
        Self {
            planner: OwnershipPlanner::new(state, BootTime::default(), START),
            fleet: fleet(servers),
            evacuations: EvacuationTable::default(),
            fleet_is_behind: false,
            now: START,
        }
    }

    /// The same right after another leader, whose leases may run on.
    pub fn succeeding(state: OwnerState, servers: &[u16]) -> Self {
        Self {
            planner: OwnershipPlanner::new(state.clone(), START, START),
            ..Self::new(state, servers)
        }
    }

    /// Polls for the time of two leases, while all servers answer. `owner` answers at its address, and
    /// nowhere else. Returns the grants that gave keys of `owner`, up to `last_key`, to another server before
    /// `owner` had released them.
    pub fn early_grants(&mut self, owner: &ServerInstance, last_key: u16) -> Vec<PlanAction> {
        let mut released = false;
        let mut early = Vec::new();
        for _ in 0..120 {
            for action in self.poll() {
                let failure = misses_owner(&action, owner).then_some(OrderFailure::OtherServer);
                match &action {
                    PlanAction::Release { server, .. } => released |= server == owner,
                    PlanAction::Grant { server, range, .. }
                        if server != owner && range.first <= last_key && !released =>
                    {
                        early.extend(failure.is_none().then(|| action.clone()));
                    }
                    PlanAction::Grant { .. } | PlanAction::Write(_) => {}
                }
                self.finish(&action, failure);
            }
        }
        early
    }

    /// Polls several times, while all orders and writes succeed; returns the actions.
    pub fn poll_and_finish(&mut self, polls: usize) -> Vec<PlanAction> {
        let mut done = Vec::new();
        for _ in 0..polls {
            for action in self.poll() {
                self.finish(&action, None);
                done.push(action);
            }
        }
        done
    }

    pub fn poll(&mut self) -> Vec<PlanAction> {
        self.advance_and_poll(STEP)
    }

    pub fn advance_and_poll(&mut self, elapsed: Duration) -> Vec<PlanAction> {
        self.now += elapsed;
        self.planner
            .handle_input(PlanInput::Confirmed(self.now), self.now);
        let capacity: HashMap<ServerId, f32> = HashMap::new();
        let plan_context = PlanContext {
            fleet: &self.fleet,
            evacuations: &self.evacuations,
            fleet_is_behind: self.fleet_is_behind,
            services: &[service()],
            capacity: &capacity,
        };
        self.planner.poll(plan_context, self.now)
    }

    /// Reports the result of an action: orders succeed or fail with `failure`, writes are
    /// acknowledged.
    pub fn finish(&mut self, action: &PlanAction, failure: Option<OrderFailure>) {
        let input = match action.clone() {
            PlanAction::Write(_) => PlanInput::WriteAcked(self.now),
            PlanAction::Grant {
                service,
                server,
                range,
                token,
                ..
            } => PlanInput::GrantDone {
                service,
                range,
                token,
                server,
                result: failure.map_or(Ok(()), Err),
            },
            PlanAction::Release {
                service,
                server,
                range,
                token,
                token_offset,
                ..
            } => PlanInput::ReleaseDone {
                service,
                range,
                token,
                token_offset,
                server,
                result: failure.map_or(Ok(None), Err),
            },
        };
        self.planner.handle_input(input, self.now);
    }

    /// Polls until the planner emits a write for which `wanted` holds, while `unresponsive`
    /// answers no orders. Acknowledges earlier writes. Returns the releases that
    /// `unresponsive` has not answered at that time.
    pub fn poll_until_write(
        &mut self,
        unresponsive: &ServerInstance,
        wanted: impl Fn(&OwnerState) -> bool,
    ) -> Vec<PlanAction> {
        for _ in 0..400 {
            let mut open = Vec::new();
            let mut found = false;
            for action in self.poll() {
                match &action {
                    PlanAction::Write(state) if wanted(state) => found = true,
                    PlanAction::Grant { server, .. } if server == unresponsive => {
                        self.finish(&action, Some(OrderFailure::Unanswered));
                    }
                    PlanAction::Release { server, .. } if server == unresponsive => {
                        open.push(action)
                    }
                    _ => self.finish(&action, None),
                }
            }
            if found {
                return open;
            }
            for action in open {
                self.finish(&action, Some(OrderFailure::Unanswered));
            }
        }
        panic!("the planner emitted no matching write in 400 polls");
    }
}

/// Whether `owner` runs, and the order goes to another address under its id, or to another server at its
/// address.
fn misses_owner(action: &PlanAction, owner: &ServerInstance) -> bool {
    let server = match action {
        PlanAction::Write(_) => return false,
        PlanAction::Grant { server, .. } | PlanAction::Release { server, .. } => server,
    };
    (server.id == owner.id) != (server.address == owner.address)
}

pub fn owner_of(state: &OwnerState, key: u16) -> Option<ServerId> {
    let owners = state.services.get(&service())?;
    let mut ranges = owners.ranges.iter();
    let record = ranges.find(|record| record.range.first <= key && key <= record.range.last)?;
    match &record.phase {
        RangePhase::Owned { owner, .. } => Some(owner.id.clone()),
        RangePhase::Moving { .. } | RangePhase::Free => None,
    }
}
