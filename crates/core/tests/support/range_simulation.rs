//! Simulation around the leader's ownership planner, in virtual time.
//!
//! Servers have slow clocks and hold leases that start when an order arrives. Orders are
//! lost or carried out late, servers crash and restart, leaders take over, and the store
//! has outages. Each step checks that no key has two owners.
//!
//! Beside that, servers leave, are replaced at their addresses or start again at others, and other
//! programs leave entries of any kind in the store; `entry_faults` draws these from random numbers of their
//! own.
#![allow(dead_code)]

#[path = "entry_faults.rs"]
mod entry_faults;
#[path = "kept_connections.rs"]
mod kept_connections;
#[path = "server_entries.rs"]
mod server_entries;
#[path = "sim_faults.rs"]
mod sim_faults;
#[path = "sim_orders.rs"]
mod sim_orders;
#[path = "sim_server.rs"]
mod sim_server;

use {
    camphorcove_core::{
        fleet::{EvacuationTable, FleetView},
        ids::{HostId, ServerId, ServiceName},
        ownership::{
            AUTHORITY_LIMIT, KeyRange, LeaderRecord, ORDER_TIMEOUT, OwnerState, OwnershipPlanner,
            PlanAction, PlanContext, PlanInput, RangePhase, ServiceOwners,
        },
        time::BootTime,
    },
    entry_faults::PendingStart,
    kept_connections::KeptConnections,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    server_entries::ServerEntries,
    sim_orders::OrderInFlight,
    sim_server::SimServer,
    std::{collections::HashMap, time::Duration},
};
#[allow(unused_imports)]
pub use {entry_faults::ServerEnd, sim_faults::SimFaults};

/// Virtual time that one simulation step takes.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which a leader asks the store to confirm its leadership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

struct SimLeader {
    planner: OwnershipPlanner,
    nonce: u64,
    /// Store revision on which the next write is conditional.
    revision: u64,
    confirmed_at: BootTime,
    cut_from_store_until: BootTime,
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
    /// Draws the faults of entries and addresses, and the work on keys.
    entry_random: ChaCha8Rng,
    faults: SimFaults,
    service: ServiceName,
    servers: Vec<SimServer>,
    /// Servers that are about to start.
    starts: Vec<PendingStart>,
    entries: ServerEntries,
    next_server: u16,
    leaders: Vec<SimLeader>,
    /// Stored assignment and its revision.
    store: Option<(OwnerState, u64)>,
    store_down_until: BootTime,
    orders: Vec<OrderInFlight>,
    connections: KeptConnections,
    writes: Vec<WriteInFlight>,
    next_nonce: u64,
    /// Sum over the steps of the keys that no running server held, times the length of a step in
    /// seconds.
    pub unheld_key_seconds: f64,
    /// Descriptions of all violations of exclusive ownership found so far.
    pub violations: Vec<String>,
}

impl RangeSimulation {
    pub fn new(seed: u64, servers: usize, faults: SimFaults) -> Self {
        let now = BootTime::from_millis(100_000);
        let count = u16::try_from(servers).expect("few servers");
        let servers = (0..count).map(SimServer::new).collect();
        let mut simulation = Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            entry_random: ChaCha8Rng::seed_from_u64(seed ^ u64::MAX),
            faults,
            service: "boats".parse().expect("valid name"),
            servers,
            starts: Vec::new(),
            entries: ServerEntries::default(),
            next_server: count,
            leaders: Vec::new(),
            store: None,
            store_down_until: BootTime::default(),
            orders: Vec::new(),
            connections: KeptConnections::new(seed),
            writes: Vec::new(),
            next_nonce: 1,
            unheld_key_seconds: 0.0,
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
        self.faults.entry_chance = 0.0;
        self.faults.end_chance = 0.0;
        self.entries.end_faults();
        self.store_down_until = self.now;
        for at in 0..self.servers.len() {
            let server = &mut self.servers[at];
            server.cut_until = self.now;
            server.newest_cut_until = self.now;
            server.draining = false;
            if !server.up {
                self.restart(at);
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
        self.unheld_keys() == 0
    }

    /// Number of keys on which no running server holds a lease.
    fn unheld_keys(&self) -> u32 {
        let mut held: Vec<KeyRange> = Vec::new();
        for server in self.servers.iter().filter(|server| server.up) {
            let live = server
                .leases
                .iter()
                .filter(|held_lease| held_lease.end > self.now);
            held.extend(live.map(|held_lease| held_lease.range));
        }
        held.sort();
        let (mut unheld, mut next) = (0, 0);
        for range in held {
            unheld += u32::from(range.first).saturating_sub(next);
            next = next.max(u32::from(range.last) + 1);
        }
        unheld + (u32::from(u16::MAX) + 1 - next)
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
        if self.entry_random.random::<f64>() < self.faults.entry_chance {
            self.inject_entry_fault();
        }
        if self.entry_random.random::<f64>() < self.faults.end_chance {
            self.inject_end();
        }
        self.end_and_start_servers();
        self.entries.update(&self.servers, &self.service, self.now);
        self.deliver_orders();
        self.finish_writes();
        self.poll_leaders();
        self.check_holders();
        self.unheld_key_seconds += f64::from(self.unheld_keys()) * STEP.as_secs_f64();
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let at = self.random.random_range(0..self.servers.len());
        let span = Duration::from_millis(self.random.random_range(300..6_000));
        let until = self.now + span;
        match self.random.random_range(0..9) {
            0 => self.servers[at].crash(self.now),
            1 => self.restart(at),
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

    /// Restarts a server, unless another one runs at its address.
    fn restart(&mut self, at: usize) {
        let address = self.servers[at].instance.address;
        let mut others = self.servers.iter().enumerate();
        if !others
            .any(|(other, server)| other != at && server.up && server.instance.address == address)
        {
            self.servers[at].restart(self.now);
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

    /// Fleet as leaders see it.
    fn fleet(&self) -> FleetView {
        let mut fleet = FleetView::default();
        for entry in self.entries.listed(self.now) {
            fleet.upsert(entry.clone(), self.now);
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
            for work in server.work.iter().filter(|work| work.end > now) {
                held.push((work.range, &server.instance.id, work.token));
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
