//! The simulated domain.

use super::prelude::*;

pub const SECOND: u64 = 1_000_000;

pub struct World {
    pub micros: u64,
    pub random: ChaCha8Rng,
    pub hosts: Vec<FakeHost>,
    pub servers: Vec<FakeServer>,
    pub network: FakeNetwork,
    pub checker: RunChecker,
    pub guards: RemovedGuards,
    pub spec: Arc<ScopeSpec>,
    pub object: Option<(ObjectVersion, ScopeState)>,
    pub requests: bool,
    pub(super) lost_answers: u32,
    /// Faults, writes and changes of role, for the report of a failed run.
    pub log: Vec<String>,
    pub(super) queue: BinaryHeap<Reverse<Queued>>,
    pub(super) queued: u64,
    pub(super) calls: u64,
}

impl World {
    pub fn new(seed: u64, hosts: usize, spec: ScopeSpec, guards: RemovedGuards) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let checked = spec.service.fencing == FencingMode::Checked;
        let servers = (0..spec.service.servers.len())
            .map(|index| {
                let clock = any_clock(&mut random);
                FakeServer::new(clock, checked, 1_000 * (index as u64 + 1))
            })
            .collect();
        let mut world = Self {
            micros: 0,
            hosts: Vec::new(),
            servers,
            network: FakeNetwork::default(),
            checker: RunChecker::default(),
            guards,
            spec: Arc::new(spec),
            object: None,
            requests: true,
            lost_answers: 0,
            log: Vec::new(),
            queue: BinaryHeap::new(),
            queued: 0,
            calls: 0,
            random,
        };
        for index in 0..hosts {
            let clock = any_clock(&mut world.random);
            let host = new_host(index, clock, 1, world.micros, guards);
            world.hosts.push(host);
            world.start_host(index);
        }
        world
    }

    /// Gives a clock another drift from now on.
    pub fn set_drift(&mut self, node: Node, ppm: i64) {
        let clock = match node {
            Node::Host(host) => &mut self.hosts[host].clock,
            Node::Server(server) => &mut self.servers[server].clock,
            Node::Platform => return,
        };
        let reading = clock.read(self.micros).0;
        clock.ppm = ppm;
        let shifted = clock.read(self.micros).0;
        clock.offset = clock.offset + reading - shifted;
    }

    pub(super) fn start_host(&mut self, index: usize) {
        let process = self.hosts[index].process;
        let event = ScopeEvent::SpecChanged(self.spec.clone());
        self.push(
            0,
            Message::Host(index, process, Step::Event(Box::new(event))),
        );
        for step in [Step::Tick, Step::Poll, Step::Request] {
            let delay = self.random.random_range(0..50_000);
            self.push(delay, Message::Host(index, process, step));
        }
    }

    pub(super) fn note(&mut self, text: String) {
        self.log
            .push(format!("{:.3} {text}", self.micros as f64 / 1e6));
    }

    pub(super) fn push(&mut self, delay: u64, message: Message) {
        self.queued += 1;
        self.queue.push(Reverse(Queued {
            at: self.micros + delay,
            number: self.queued,
            message,
        }));
    }

    pub fn schedule(&mut self, at: u64, fault: Fault) {
        self.push(at.saturating_sub(self.micros), Message::Fault(fault));
    }

    /// Runs until a true time in microseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end || !self.checker.violations.is_empty() {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.micros = self.micros.max(next.at);
            self.deliver(next.message);
        }
        self.micros = self.micros.max(end);
    }

    /// Runs until `done` holds or the end comes; returns when it held.
    pub fn run_while(&mut self, end: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        while self.micros < end {
            if done(self) {
                return Some(self.micros);
            }
            self.run_until((self.micros + 10_000).min(end));
        }
        None
    }

    pub(super) fn local(&self, host: usize) -> BootTime {
        let host = &self.hosts[host];
        let now = host.clock.read(self.micros);
        BootTime(now.0 + host.skew)
    }
}

pub fn server_index(id: &ServerId) -> usize {
    id.as_str().trim_start_matches("server-").parse().unwrap()
}

/// World with a controller and all shards served.
pub fn settled_world(seed: u64, hosts: usize, servers: usize, checked: bool) -> World {
    let spec = scope_spec(servers, 24, checked);
    let mut world = World::new(seed, hosts, spec, RemovedGuards::default());
    let settled = world.run_while(30 * SECOND, |world| world.all_served());
    assert!(settled.is_some(), "seed {seed}: no settled start");
    let start = world.micros + 2 * SECOND;
    world.run_until(start);
    world
}
