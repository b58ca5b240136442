//! A small world for the leader's plan: servers with leases from arrival and slow
//! clocks, orders that are lost or carried out late, and a store with outages.

use {
    camphorcove_core::{
        fleet::{FleetView, ServerEntry, ServerPhase},
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

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which a leader asks the store whether it still leads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay until an entry of a server that crashed disappears.
const LAPSE_TIME: Duration = Duration::from_millis(2_600);

/// What the world does besides working.
#[derive(Clone, Copy, Debug)]
pub struct WorldFaults {
    /// Share of orders that get no answer and are carried out 2 to 12 s later.
    pub late_orders: f64,
    /// Share of orders that never arrive.
    pub lost_orders: f64,
    /// Chance of a new fault in each step.
    pub fault_chance: f64,
    /// Factor by which leases last longer on the servers' clocks.
    pub slow_clock: f64,
    /// Longest time until the store has done a write, and until its answer arrives.
    pub write_delay: Duration,
}

#[derive(Clone, Debug)]
struct Hold {
    range: KeyRange,
    token: u64,
    end: BootTime,
}

#[derive(Debug)]
struct SimServer {
    instance: ServerInstance,
    up: bool,
    crashed_at: Option<BootTime>,
    /// No leader reaches it until then.
    cut_until: BootTime,
    /// Only leaders before the newest one reach it until then.
    newest_cut_until: BootTime,
    draining: bool,
    holds: Vec<Hold>,
    seen: Vec<(KeyRange, u64)>,
}

struct SimLeader {
    planner: OwnershipPlanner,
    nonce: u64,
    revision: u64,
    confirmed_at: BootTime,
    cut_from_store_until: BootTime,
}

enum OrderKind {
    Grant { lease: Duration },
    Release,
}

struct OrderInFlight {
    leader: u64,
    term: u64,
    service: ServiceName,
    server: ServerInstance,
    range: KeyRange,
    /// Token of the record, and of the order.
    token: u64,
    raised: u64,
    kind: OrderKind,
    /// The lease counts from here.
    arrives_at: BootTime,
    runs_at: BootTime,
    runs: bool,
    answered: bool,
    give_up_at: BootTime,
    ran: bool,
    told: bool,
}

struct WriteInFlight {
    leader: u64,
    revision: u64,
    state: OwnerState,
    done_at: BootTime,
    answered_at: BootTime,
    /// Whether the store did it, once it has been there.
    done: Option<bool>,
    sent_at: BootTime,
}

/// The world.
pub struct RangeWorld {
    now: BootTime,
    random: ChaCha8Rng,
    faults: WorldFaults,
    service: ServiceName,
    servers: Vec<SimServer>,
    leaders: Vec<SimLeader>,
    store: Option<(OwnerState, u64)>,
    store_down_until: BootTime,
    orders: Vec<OrderInFlight>,
    writes: Vec<WriteInFlight>,
    next_nonce: u64,
    /// Broken rules, as text.
    pub violations: Vec<String>,
}

impl RangeWorld {
    pub fn new(seed: u64, servers: usize, faults: WorldFaults) -> Self {
        let now = BootTime::from_millis(100_000);
        let servers = (0..servers)
            .map(|at| SimServer {
                instance: ServerInstance {
                    id: format!("s-{at}").parse().expect("valid id"),
                    incarnation: 1,
                    address: ([127, 0, 0, 1], 7_000 + u16::try_from(at).unwrap_or(0)).into(),
                },
                up: true,
                crashed_at: None,
                cut_until: BootTime::default(),
                newest_cut_until: BootTime::default(),
                draining: false,
                holds: Vec::new(),
                seen: Vec::new(),
            })
            .collect();
        let mut world = Self {
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
        world.take_over();
        world
    }

    /// Replaces the faults from now on.
    pub fn set_faults(&mut self, faults: WorldFaults) {
        self.faults = faults;
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Ends all faults but those of orders.
    pub fn heal(&mut self) {
        self.faults.fault_chance = 0.0;
        self.store_down_until = self.now;
        for server in &mut self.servers {
            server.cut_until = self.now;
            server.newest_cut_until = self.now;
            server.draining = false;
            if !server.up {
                server.restart();
            }
        }
        for leader in &mut self.leaders {
            leader.cut_from_store_until = self.now;
        }
    }

    /// Kills all leaders at once; a new one follows.
    pub fn lose_all_leaders(&mut self) {
        self.leaders.clear();
        self.take_over();
    }

    /// Crashes the server with most keys.
    pub fn crash_an_owner(&mut self) {
        let keys =
            |server: &SimServer| -> u32 { server.holds.iter().map(|hold| hold.range.keys()).sum() };
        let best = (0..self.servers.len())
            .max_by_key(|at| keys(&self.servers[*at]))
            .expect("servers exist");
        self.servers[best].crash(self.now);
    }

    /// Whether every key has a live holder.
    pub fn all_served(&self) -> bool {
        let mut held: Vec<KeyRange> = Vec::new();
        for server in self.servers.iter().filter(|server| server.up) {
            let live = server.holds.iter().filter(|hold| hold.end > self.now);
            held.extend(live.map(|hold| hold.range));
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

    /// Ranges that the stored assignment has in motion.
    pub fn moving(&self) -> usize {
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
            self.inject();
        }
        self.deliver();
        self.finish_writes();
        self.lead();
        self.check_holders();
    }

    fn inject(&mut self) {
        let at = self.random.random_range(0..self.servers.len());
        let span = Duration::from_millis(self.random.random_range(300..6_000));
        let until = self.now + span;
        match self.random.random_range(0..9) {
            0 => self.servers[at].crash(self.now),
            1 => self.servers[at].restart(),
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

    /// A new leader follows; the one before does not learn of it.
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
            None => (OwnerState::new(String::new()), 0),
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

    fn fleet(&self) -> FleetView {
        let mut fleet = FleetView::default();
        for server in &self.servers {
            let lapsed = server
                .crashed_at
                .is_some_and(|at| self.now.since(at) > LAPSE_TIME);
            if lapsed {
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
            fleet.put(entry, self.now);
        }
        fleet
    }

    fn lead(&mut self) {
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
                let named = stored.and_then(|(state, _)| state.leader.as_ref());
                if named.is_some_and(|record| record.nonce == leader.nonce) {
                    leader
                        .planner
                        .handle_input(PlanInput::Confirmed(self.now), self.now);
                }
            }
            // All hosts report to every leader: the worst case for leaders in doubt.
            leader
                .planner
                .handle_input(PlanInput::MajorityReports, self.now);
            let world = PlanContext {
                fleet: &fleet,
                services: &services,
                capacity: &capacity,
            };
            let mut actions = leader.planner.poll(world, self.now);
            while let Some(action) = actions.pop() {
                let PlanAction::Write(state) = action else {
                    sent.push((leader.nonce, leader.planner.state().term, action));
                    continue;
                };
                let longest = self.faults.write_delay.as_micros().max(1);
                let longest = u64::try_from(longest).unwrap_or(u64::MAX);
                let mut delay = || Duration::from_micros(self.random.random_range(0..longest));
                let done_at = self.now + delay();
                self.writes.push(WriteInFlight {
                    leader: leader.nonce,
                    revision: leader.revision,
                    state: *state,
                    done_at,
                    answered_at: done_at + delay(),
                    done: None,
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

    /// Does the writes that have reached the store, and tells leaders how theirs ended.
    fn finish_writes(&mut self) {
        let store_up = self.store_up();
        let mut writes = std::mem::take(&mut self.writes);
        for write in &mut writes {
            if write.done.is_some() || self.now < write.done_at {
                continue;
            }
            let leader = self.leader_mut(write.leader);
            let cut_until = leader.map(|leader| leader.cut_from_store_until);
            let reaches_store = store_up && cut_until.is_none_or(|until| self.now >= until);
            let stored = self.store.as_ref().map(|(_, revision)| *revision);
            let done = reaches_store && stored == Some(write.revision);
            if done {
                self.store = Some((write.state.clone(), write.revision + 1));
            }
            write.done = Some(done);
        }
        let now = self.now;
        for write in &writes {
            let (Some(done), true) = (write.done, now >= write.answered_at) else {
                continue;
            };
            let Some(leader) = self.leader_mut(write.leader) else {
                continue;
            };
            let input = match done {
                true => {
                    leader.revision += 1;
                    PlanInput::WriteAcked(write.sent_at)
                }
                false => PlanInput::WriteNotApplied,
            };
            leader.planner.handle_input(input, now);
        }
        writes.retain(|write| write.done.is_none() || now < write.answered_at);
        self.writes = writes;
    }

    fn leader_mut(&mut self, nonce: u64) -> Option<&mut SimLeader> {
        let mut leaders = self.leaders.iter_mut();
        leaders.find(|leader| leader.nonce == nonce)
    }

    fn send(&mut self, leader: u64, term: u64, action: PlanAction) {
        let (service, server, range, token, raised, kind, limit) = match action {
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
            raised,
            kind,
            arrives_at: self.now + delay,
            runs_at: self.now + if is_late { late } else { delay },
            runs: !is_lost,
            answered: !is_lost && !is_late,
            give_up_at: self.now + limit,
            ran: false,
            told: false,
        });
    }

    fn deliver(&mut self) {
        let mut orders = std::mem::take(&mut self.orders);
        for order in &mut orders {
            if !order.ran && self.now >= order.runs_at {
                order.ran = true;
                let result = self.run_order(order);
                if order.answered
                    && !order.told
                    && let Some(result) = result
                {
                    order.told = true;
                    self.tell(order, result);
                }
            }
            if !order.told && self.now >= order.give_up_at {
                order.told = true;
                self.tell(order, Err(OrderFailure::Unanswered));
            }
        }
        orders.retain(|order| !(order.ran && order.told));
        orders.append(&mut self.orders);
        self.orders = orders;
    }

    /// Runs an order at its server; nothing if it does not get there.
    fn run_order(&mut self, order: &OrderInFlight) -> Option<Result<(), OrderFailure>> {
        let at = self
            .servers
            .iter()
            .position(|server| server.instance == order.server && server.up)?;
        let server = &self.servers[at];
        let newest = order.leader + 1 == self.next_nonce;
        let cut = server.cut_until > order.arrives_at
            || (newest && server.newest_cut_until > order.arrives_at);
        if !order.runs || cut {
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

    fn grant(
        &mut self,
        at: usize,
        order: &OrderInFlight,
        lease: Duration,
    ) -> Result<(), OrderFailure> {
        let (range, token) = (order.range, order.raised);
        let server = &self.servers[at];
        let overlapping = |seen: &&(KeyRange, u64)| seen.0.overlaps(range);
        if server
            .seen
            .iter()
            .filter(overlapping)
            .any(|seen| seen.1 > token)
        {
            return Err(OrderFailure::Superseded);
        }
        let end = order.arrives_at + lease.mul_f64(self.faults.slow_clock);
        // An order whose lease is over when it is carried out gives nothing.
        if end > self.now {
            for (other, owner) in self.servers.iter().enumerate() {
                let taken = owner
                    .seen
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
        server.seen.push((range, token));
        server.release(range);
        server.holds.push(Hold { range, token, end });
        Ok(())
    }

    fn tell(&mut self, order: &OrderInFlight, result: Result<(), OrderFailure>) {
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

    /// No two live servers hold a key.
    fn check_holders(&mut self) {
        let now = self.now;
        let mut held: Vec<(KeyRange, &ServerId, u64)> = Vec::new();
        for server in self.servers.iter().filter(|server| server.up) {
            for hold in server.holds.iter().filter(|hold| hold.end > now) {
                held.push((hold.range, &server.instance.id, hold.token));
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
        self.holds.clear();
    }

    /// Starts again under the same id; it knows nothing of before.
    fn restart(&mut self) {
        self.up = true;
        self.crashed_at = None;
        self.instance.incarnation += 1;
        self.holds.clear();
        self.seen.clear();
        self.draining = false;
    }

    /// Removes a range from the holds, splitting them where needed.
    fn release(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if !hold.range.overlaps(range) {
                kept.push(hold);
                continue;
            }
            if hold.range.first < range.first {
                let mut lower = hold.clone();
                lower.range.last = range.first - 1;
                kept.push(lower);
            }
            if hold.range.last > range.last {
                let mut upper = hold.clone();
                upper.range.first = range.last + 1;
                kept.push(upper);
            }
        }
        self.holds = kept;
    }
}
