//! Simulation around the leader's ownership planner, in virtual time.
//!
//! Servers have slow clocks and hold leases that start when an order arrives. Orders are
//! lost or carried out late, servers crash and restart, leaders take over, and the store
//! has outages. Each step checks that no key has two owners.

use {
    camphorcove_core::{
        fleet::{EvacuationTable, FleetView, ServerEntry, ServerPhase},
        ids::{HostId, ServerId, ServiceName},
        ownership::{
            AUTHORITY_LIMIT, KeyRange, LeaderRecord, ORDER_TIMEOUT, OrderFailure, OwnerState,
            OwnershipPlanner, PlanAction, PlanContext, PlanInput, RangePhase, ServerInstance,
            ServiceOwners,
        },
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::HashMap, time::Duration},
};

/// Virtual time that one simulation step takes.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which a leader asks the store to confirm its leadership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after a crash at which the server's entry expires.
const ENTRY_EXPIRY_TIME: Duration = Duration::from_millis(2_600);

/// Faults that the simulation injects.
#[derive(Clone, Copy, Debug)]
pub struct SimFaults {
    /// Share of orders that get no answer and are carried out 2 to 12 s after they were sent.
    pub late_orders: f64,
    /// Share of orders that never arrive.
    pub lost_orders: f64,
    /// Probability of a new fault in each step.
    pub fault_chance: f64,
    /// Factor by which leases last longer on the servers, whose clocks are slow.
    pub slow_clock: f64,
    /// Longest time until the store applies a write, and from then until its answer arrives.
    pub write_delay: Duration,
}

/// Lease of a server on a range.
#[derive(Clone, Debug)]
struct HeldLease {
    range: KeyRange,
    token: u64,
    end: BootTime,
}

#[derive(Debug)]
struct SimServer {
    instance: ServerInstance,
    up: bool,
    started_at: BootTime,
    crashed_at: Option<BootTime>,
    /// Until then, no leader reaches the server.
    cut_until: BootTime,
    /// Until then, the newest leader does not reach the server; earlier ones do.
    newest_cut_until: BootTime,
    draining: bool,
    leases: Vec<HeldLease>,
    /// Ranges and tokens of all grants that the server accepted since its start.
    accepted_grants: Vec<(KeyRange, u64)>,
}

struct SimLeader {
    planner: OwnershipPlanner,
    nonce: u64,
    /// Store revision on which the next write is conditional.
    revision: u64,
    confirmed_at: BootTime,
    cut_from_store_until: BootTime,
}

enum OrderKind {
    Grant { lease: Duration },
    Release,
}

struct OrderInFlight {
    /// Nonce and term of the leader that sent the order.
    leader: u64,
    term: u64,
    service: ServiceName,
    server: ServerInstance,
    range: KeyRange,
    /// Token of the record that the order is for.
    token: u64,
    /// Token of the order itself.
    order_token: u64,
    kind: OrderKind,
    /// Time of arrival at the server, at which the lease starts.
    arrives_at: BootTime,
    /// When the server carries out the order.
    runs_at: BootTime,
    /// Whether the order is not lost on its way to the server.
    arrives: bool,
    /// Whether the leader gets the answer before it stops waiting.
    answered: bool,
    /// When the leader stops waiting for the answer.
    times_out_at: BootTime,
    ran: bool,
    /// Whether the leader has been told the result.
    reported: bool,
}

struct WriteInFlight {
    /// Nonce of the leader that sent the write.
    leader: u64,
    /// Store revision on which the write is conditional.
    revision: u64,
    state: OwnerState,
    applies_at: BootTime,
    answered_at: BootTime,
    /// Whether the store applied the write; `None` before it has processed the write.
    applied: Option<bool>,
    sent_at: BootTime,
}

/// Simulated servers, leaders and store.
pub struct RangeSimulation {
    now: BootTime,
    random: ChaCha8Rng,
    faults: SimFaults,
    service: ServiceName,
    servers: Vec<SimServer>,
    leaders: Vec<SimLeader>,
    /// Stored assignment and its revision.
    store: Option<(OwnerState, u64)>,
    store_down_until: BootTime,
    orders: Vec<OrderInFlight>,
    writes: Vec<WriteInFlight>,
    next_nonce: u64,
    /// Descriptions of all violations of exclusive ownership found so far.
    pub violations: Vec<String>,
}

impl RangeSimulation {
    pub fn new(seed: u64, servers: usize, faults: SimFaults) -> Self {
        let now = BootTime::from_millis(100_000);
        let servers = (0..servers)
            .map(|at| SimServer {
                instance: ServerInstance {
                    id: format!("s-{at}").parse().expect("valid id"),
                    incarnation: 1,
                    address: ([127, 0, 0, 1], 7_000 + u16::try_from(at).unwrap_or(0)).into(),
                },
                up: true,
                started_at: BootTime::default(),
                crashed_at: None,
                cut_until: BootTime::default(),
                newest_cut_until: BootTime::default(),
                draining: false,
                leases: Vec::new(),
                accepted_grants: Vec::new(),
            })
            .collect();
        let mut simulation = Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            service: "boats".parse().expect("valid name"),
            servers,
            leaders: Vec::new(),
            store: None,
            store_down_until: BootTime::default(),
            orders: Vec::new(),
            writes: Vec::new(),
            next_nonce: 1,
            violations: Vec::new(),
        };
        simulation.take_over();
        simulation
    }

    /// Injects `faults` from now on.
    pub fn set_faults(&mut self, faults: SimFaults) {
        self.faults = faults;
    }

    /// Advances the simulation by `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Ends all faults, except lost and late orders, slow clocks and write delays.
    pub fn end_faults(&mut self) {
        self.faults.fault_chance = 0.0;
        self.store_down_until = self.now;
        for server in &mut self.servers {
            server.cut_until = self.now;
            server.newest_cut_until = self.now;
            server.draining = false;
            if !server.up {
                server.restart(self.now);
            }
        }
        for leader in &mut self.leaders {
            leader.cut_from_store_until = self.now;
        }
    }

    /// Stops all leaders at once; a new one takes over.
    pub fn lose_all_leaders(&mut self) {
        self.leaders.clear();
        self.take_over();
    }

    /// Crashes the server that holds the most keys.
    pub fn crash_largest_owner(&mut self) {
        let keys = |server: &SimServer| -> u32 {
            server
                .leases
                .iter()
                .map(|held_lease| held_lease.range.keys())
                .sum()
        };
        let best = (0..self.servers.len())
            .max_by_key(|at| keys(&self.servers[*at]))
            .expect("servers exist");
        self.servers[best].crash(self.now);
    }

    /// Whether a running server holds a lease on every key.
    pub fn all_keys_served(&self) -> bool {
        let mut held: Vec<KeyRange> = Vec::new();
        for server in self.servers.iter().filter(|server| server.up) {
            let live = server
                .leases
                .iter()
                .filter(|held_lease| held_lease.end > self.now);
            held.extend(live.map(|held_lease| held_lease.range));
        }
        held.sort();
        let mut next: u32 = 0;
        for range in held {
            if u32::from(range.first) > next {
                return false;
            }
            next = next.max(u32::from(range.last) + 1);
        }
        next > u32::from(u16::MAX)
    }

    /// Number of moving ranges in the stored assignment.
    pub fn moving_ranges(&self) -> usize {
        let owners = self.store.as_ref().and_then(|(state, _)| {
            let owners: Option<&ServiceOwners> = state.services.get(&self.service);
            owners
        });
        owners.map_or(0, |owners| {
            let moving = |phase: &RangePhase| matches!(phase, RangePhase::Moving { .. });
            owners
                .ranges
                .iter()
                .filter(|record| moving(&record.phase))
                .count()
        })
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.random.random::<f64>() < self.faults.fault_chance {
            self.inject_fault();
        }
        self.deliver_orders();
        self.finish_writes();
        self.poll_leaders();
        self.check_holders();
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let at = self.random.random_range(0..self.servers.len());
        let span = Duration::from_millis(self.random.random_range(300..6_000));
        let until = self.now + span;
        match self.random.random_range(0..9) {
            0 => self.servers[at].crash(self.now),
            1 => self.servers[at].restart(self.now),
            2 => self.servers[at].cut_until = until,
            3 => self.servers[at].draining = !self.servers[at].draining,
            4 => self.store_down_until = until,
            5 => {
                if let Some(leader) = self.leaders.last_mut() {
                    leader.cut_from_store_until = until;
                }
            }
            6 => self.take_over(),
            7 => {
                self.take_over();
                self.servers[at].newest_cut_until = until + Duration::from_secs(10);
            }
            _ => self.lose_all_leaders(),
        }
    }

    fn store_up(&self) -> bool {
        self.now >= self.store_down_until
    }

    /// A new leader takes over; the previous one is not told.
    fn take_over(&mut self) {
        if !self.store_up() {
            return;
        }
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let host: HostId = format!("h-{nonce}").parse().expect("valid id");
        let record = LeaderRecord {
            host,
            nonce,
            address: ([127, 0, 0, 1], 6_000).into(),
        };
        let (mut state, revision) = match self.store.take() {
            Some(stored) => stored,
            None => {
                let mut state = OwnerState::new(String::new());
                state.electors = ["h-1".parse().expect("valid id")].into_iter().collect();
                (state, 0)
            }
        };
        let before = state.begin_term(record);
        self.store = Some((state.clone(), revision + 1));
        let predecessor_end = match before {
            Some(_) => self.now + AUTHORITY_LIMIT + ORDER_TIMEOUT,
            None => BootTime::default(),
        };
        self.leaders.push(SimLeader {
            planner: OwnershipPlanner::new(state, predecessor_end, self.now),
            nonce,
            revision: revision + 1,
            confirmed_at: self.now,
            cut_from_store_until: BootTime::default(),
        });
    }

    /// Fleet as leaders see it: all servers whose entry has not expired.
    fn fleet(&self) -> FleetView {
        let mut fleet = FleetView::default();
        for server in &self.servers {
            let entry_expired = server
                .crashed_at
                .is_some_and(|at| self.now.since(at) > ENTRY_EXPIRY_TIME);
            if entry_expired {
                continue;
            }
            let entry = ServerEntry {
                id: server.instance.id.clone(),
                incarnation: server.instance.incarnation,
                service: self.service.clone(),
                address: server.instance.address,
                zone: "z".parse().expect("valid name"),
                slots: 3,
                phase: match server.draining {
                    true => ServerPhase::Draining,
                    false => ServerPhase::Ready,
                },
                warmup: Duration::ZERO,
            };
            fleet.upsert(entry, self.now);
        }
        fleet
    }

    /// Polls all leaders, and sends their orders and writes.
    fn poll_leaders(&mut self) {
        let fleet = self.fleet();
        let services = [self.service.clone()];
        let capacity: HashMap<ServerId, f32> = HashMap::new();
        let store_up = self.store_up();
        let mut sent = Vec::new();
        for leader in &mut self.leaders {
            let reaches_store = store_up && self.now >= leader.cut_from_store_until;
            if self.now.since(leader.confirmed_at) >= CONFIRM_INTERVAL && reaches_store {
                leader.confirmed_at = self.now;
                let stored = self.store.as_ref();
                let stored_leader = stored.and_then(|(state, _)| state.leader.as_ref());
                if stored_leader.is_some_and(|record| record.nonce == leader.nonce) {
                    leader
                        .planner
                        .handle_input(PlanInput::Confirmed(self.now), self.now);
                }
            }
            // All hosts report to every leader. This is the worst case: former leaders keep
            // their authority for the longest time.
            let electors = leader.planner.state().electors.hosts().clone();
            leader
                .planner
                .handle_input(PlanInput::Reports(electors), self.now);
            let plan_context = PlanContext {
                fleet: &fleet,
                evacuations: &EvacuationTable::default(),
                fleet_is_behind: false,
                services: &services,
                capacity: &capacity,
            };
            let mut actions = leader.planner.poll(plan_context, self.now);
            while let Some(action) = actions.pop() {
                let PlanAction::Write(state) = action else {
                    sent.push((leader.nonce, leader.planner.state().term, action));
                    continue;
                };
                let longest = self.faults.write_delay.as_micros().max(1);
                let longest = u64::try_from(longest).unwrap_or(u64::MAX);
                let mut delay = || Duration::from_micros(self.random.random_range(0..longest));
                let applies_at = self.now + delay();
                self.writes.push(WriteInFlight {
                    leader: leader.nonce,
                    revision: leader.revision,
                    state: *state,
                    applies_at,
                    answered_at: applies_at + delay(),
                    applied: None,
                    sent_at: self.now,
                });
            }
        }
        for (leader, term, action) in sent {
            self.send(leader, term, action);
        }
        self.leaders
            .retain(|leader| !leader.planner.is_superseded());
        if self.leaders.is_empty() {
            self.take_over();
        }
    }

    /// Applies the writes that have reached the store, and tells leaders the results of theirs.
    fn finish_writes(&mut self) {
        let store_up = self.store_up();
        let mut writes = std::mem::take(&mut self.writes);
        for write in &mut writes {
            if write.applied.is_some() || self.now < write.applies_at {
                continue;
            }
            let leader = self.leader_mut(write.leader);
            let cut_until = leader.map(|leader| leader.cut_from_store_until);
            let reaches_store = store_up && cut_until.is_none_or(|until| self.now >= until);
            let stored = self.store.as_ref().map(|(_, revision)| *revision);
            let applied = reaches_store && stored == Some(write.revision);
            if applied {
                self.store = Some((write.state.clone(), write.revision + 1));
            }
            write.applied = Some(applied);
        }
        let now = self.now;
        for write in &writes {
            let (Some(applied), true) = (write.applied, now >= write.answered_at) else {
                continue;
            };
            let Some(leader) = self.leader_mut(write.leader) else {
                continue;
            };
            let input = match applied {
                true => {
                    leader.revision += 1;
                    PlanInput::WriteAcked(write.sent_at)
                }
                false => PlanInput::WriteNotApplied,
            };
            leader.planner.handle_input(input, now);
        }
        writes.retain(|write| write.applied.is_none() || now < write.answered_at);
        self.writes = writes;
    }

    fn leader_mut(&mut self, nonce: u64) -> Option<&mut SimLeader> {
        let mut leaders = self.leaders.iter_mut();
        leaders.find(|leader| leader.nonce == nonce)
    }

    /// Sends an order, with its faults drawn at random.
    fn send(&mut self, leader: u64, term: u64, action: PlanAction) {
        let (service, server, range, token, order_token, kind, limit) = match action {
            PlanAction::Grant {
                service,
                server,
                range,
                token,
                token_offset,
                lease,
                ..
            } => {
                let kind = OrderKind::Grant { lease };
                (
                    service,
                    server,
                    range,
                    token,
                    token + token_offset,
                    kind,
                    ORDER_TIMEOUT,
                )
            }
            PlanAction::Release {
                service,
                server,
                range,
                token,
                token_offset,
                limit,
            } => (
                service,
                server,
                range,
                token,
                token + token_offset,
                OrderKind::Release,
                limit,
            ),
            PlanAction::Write(_) => return,
        };
        let delay = Duration::from_millis(self.random.random_range(1..20));
        let late = Duration::from_millis(self.random.random_range(2_000..12_000));
        let draw: f64 = self.random.random();
        let is_lost = draw < self.faults.lost_orders;
        let is_late = !is_lost && draw < self.faults.lost_orders + self.faults.late_orders;
        self.orders.push(OrderInFlight {
            leader,
            term,
            service,
            server,
            range,
            token,
            order_token,
            kind,
            arrives_at: self.now + delay,
            runs_at: self.now + if is_late { late } else { delay },
            arrives: !is_lost,
            answered: !is_lost && !is_late,
            times_out_at: self.now + limit,
            ran: false,
            reported: false,
        });
    }

    /// Carries out the orders that are due, and tells leaders results and time-outs.
    fn deliver_orders(&mut self) {
        let mut orders = std::mem::take(&mut self.orders);
        for order in &mut orders {
            if !order.ran && self.now >= order.runs_at {
                order.ran = true;
                let result = self.execute_order(order);
                if order.answered
                    && !order.reported
                    && let Some(result) = result
                {
                    order.reported = true;
                    self.report_result(order, result);
                }
            }
            if !order.reported && self.now >= order.times_out_at {
                order.reported = true;
                self.report_result(order, Err(OrderFailure::Unanswered));
            }
        }
        orders.retain(|order| !(order.ran && order.reported));
        orders.append(&mut self.orders);
        self.orders = orders;
    }

    /// Carries out an order at its server; `None` if the order does not reach the server.
    fn execute_order(&mut self, order: &OrderInFlight) -> Option<Result<(), OrderFailure>> {
        // Orders name the id of the server only, so a server that has started again carries out
        // those for its earlier incarnation which arrive now.
        let at = self.servers.iter().position(|server| {
            server.instance.id == order.server.id
                && server.up
                && server.started_at <= order.arrives_at
        })?;
        let server = &self.servers[at];
        let newest = order.leader + 1 == self.next_nonce;
        let cut = server.cut_until > order.arrives_at
            || (newest && server.newest_cut_until > order.arrives_at);
        if !order.arrives || cut {
            return None;
        }
        match order.kind {
            OrderKind::Release => {
                self.servers[at].release(order.range);
                Some(Ok(()))
            }
            OrderKind::Grant { lease } => Some(self.grant(at, order, lease)),
        }
    }

    /// Grants a lease, unless the server has seen a higher token.
    fn grant(
        &mut self,
        at: usize,
        order: &OrderInFlight,
        lease: Duration,
    ) -> Result<(), OrderFailure> {
        let (range, token) = (order.range, order.order_token);
        let server = &self.servers[at];
        let overlapping = |seen: &&(KeyRange, u64)| seen.0.overlaps(range);
        if server
            .accepted_grants
            .iter()
            .filter(overlapping)
            .any(|seen| seen.1 > token)
        {
            return Err(OrderFailure::Superseded);
        }
        let end = order.arrives_at + lease.mul_f64(self.faults.slow_clock);
        // An order carried out after the end of its lease grants nothing, so it violates nothing.
        if end > self.now {
            for (other, owner) in self.servers.iter().enumerate() {
                let taken = owner
                    .accepted_grants
                    .iter()
                    .filter(overlapping)
                    .map(|seen| seen.1)
                    .max();
                if other != at && taken.is_some_and(|taken| taken >= token) {
                    self.violations.push(format!(
                        "{}: {range} granted to {} with token {token}, {} had {taken:?}",
                        self.now, server.instance.id, owner.instance.id
                    ));
                }
            }
        }
        let server = &mut self.servers[at];
        server.accepted_grants.push((range, token));
        server.release(range);
        server.leases.push(HeldLease { range, token, end });
        Ok(())
    }

    /// Reports the result of an order to the leader that sent it, if it still leads that term.
    fn report_result(&mut self, order: &OrderInFlight, result: Result<(), OrderFailure>) {
        let leader = self.leaders.iter_mut().find(|leader| {
            leader.nonce == order.leader && leader.planner.state().term == order.term
        });
        let Some(leader) = leader else {
            return;
        };
        let service = order.service.clone();
        let (range, token, server) = (order.range, order.token, order.server.clone());
        let input = match order.kind {
            OrderKind::Grant { .. } => PlanInput::GrantDone {
                service,
                range,
                token,
                server,
                result,
            },
            OrderKind::Release => PlanInput::ReleaseDone {
                service,
                range,
                token,
                server,
                result: result.map(|()| None),
            },
        };
        leader.planner.handle_input(input, self.now);
    }

    /// Records a violation for each pair of running servers that hold leases on a common key.
    fn check_holders(&mut self) {
        let now = self.now;
        let mut held: Vec<(KeyRange, &ServerId, u64)> = Vec::new();
        for server in self.servers.iter().filter(|server| server.up) {
            for held_lease in server
                .leases
                .iter()
                .filter(|held_lease| held_lease.end > now)
            {
                held.push((held_lease.range, &server.instance.id, held_lease.token));
            }
        }
        for (at, (range, id, token)) in held.iter().enumerate() {
            for (other, other_id, other_token) in &held[at + 1..] {
                if id != other_id && range.overlaps(*other) {
                    self.violations.push(format!(
                        "{now}: {range} held by {id} ({token}) and {other} by {other_id} \
                         ({other_token})"
                    ));
                }
            }
        }
    }
}

impl SimServer {
    fn crash(&mut self, now: BootTime) {
        if !self.up {
            return;
        }
        self.up = false;
        self.crashed_at = Some(now);
        self.leases.clear();
    }

    /// Restarts under the same id without any state.
    fn restart(&mut self, now: BootTime) {
        self.up = true;
        self.started_at = now;
        self.crashed_at = None;
        self.instance.incarnation += 1;
        self.leases.clear();
        self.accepted_grants.clear();
        self.draining = false;
    }

    /// Releases the leases on a range; leases that overlap it partly keep the rest.
    fn release(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for held_lease in self.leases.drain(..) {
            if !held_lease.range.overlaps(range) {
                kept.push(held_lease);
                continue;
            }
            if held_lease.range.first < range.first {
                let mut lower = held_lease.clone();
                lower.range.last = range.first - 1;
                kept.push(lower);
            }
            if held_lease.range.last > range.last {
                let mut upper = held_lease.clone();
                upper.range.first = range.last + 1;
                kept.push(upper);
            }
        }
        self.leases = kept;
    }
}
