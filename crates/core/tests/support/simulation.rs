//! The event loop of the simulation and its state.

use super::prelude::*;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// One scope with its hosts, servers, platform and network, driven by a queue of messages.
pub struct Simulation {
    /// True time in microseconds since the start.
    pub micros: u64,
    pub rng: ChaCha8Rng,
    pub hosts: Vec<FakeHost>,
    pub servers: Vec<FakeServer>,
    pub network: FakeNetwork,
    pub checker: RunChecker,
    /// Safeguards disabled in this run.
    pub disabled: DisabledSafeguards,
    /// Configuration that new processes start with.
    pub spec: Arc<ScopeSpec>,
    /// Content and version of the scope object that the platform stores.
    pub scope_object: Option<(ObjectVersion, ScopeState)>,
    /// Hosts send requests; off in tests that simulate long periods or measure moves.
    pub requests_enabled: bool,
    /// Number of coming writes whose answer is lost.
    pub(super) write_answers_to_lose: u32,
    /// Faults, writes and role changes, printed when a test fails.
    pub log: Vec<String>,
    pub(super) queue: BinaryHeap<Reverse<QueuedMessage>>,
    /// Messages queued so far; the next message takes its number from here.
    pub(super) queued_count: u64,
    /// Calls opened so far; the next call takes its number from here.
    pub(super) calls: u64,
}

impl Simulation {
    /// Starts all hosts with random clocks; the scope object does not exist yet.
    pub fn new(seed: u64, hosts: usize, spec: ScopeSpec, disabled: DisabledSafeguards) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let checked = spec.service.fencing == FencingMode::Checked;
        let servers = (0..spec.service.servers.len())
            .map(|index| {
                let clock = random_clock(&mut rng);
                FakeServer::new(clock, checked, 1_000 * (index as u64 + 1))
            })
            .collect();
        let mut simulation = Self {
            micros: 0,
            hosts: Vec::new(),
            servers,
            network: FakeNetwork::default(),
            checker: RunChecker::default(),
            disabled,
            spec: Arc::new(spec),
            scope_object: None,
            requests_enabled: true,
            write_answers_to_lose: 0,
            log: Vec::new(),
            queue: BinaryHeap::new(),
            queued_count: 0,
            calls: 0,
            rng,
        };
        for index in 0..hosts {
            let clock = random_clock(&mut simulation.rng);
            let host = new_host(index, clock, 1, simulation.micros, disabled);
            simulation.hosts.push(host);
            simulation.start_host(index);
        }
        simulation
    }

    /// Changes the drift of a clock from now on, without a jump of its reading.
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

    /// Gives a new process its configuration and starts its periodic steps at random times.
    pub(super) fn start_host(&mut self, index: usize) {
        let process = self.hosts[index].process;
        let event = ScopeEvent::SpecChanged(self.spec.clone());
        self.push(
            0,
            Message::Host(index, process, Step::Event(Box::new(event))),
        );
        for step in [Step::Tick, Step::Poll, Step::Request] {
            let delay = self.rng.random_range(0..50_000);
            self.push(delay, Message::Host(index, process, step));
        }
    }

    pub(super) fn log_event(&mut self, text: String) {
        self.log
            .push(format!("{:.3} {text}", self.micros as f64 / 1e6));
    }

    /// Queues a message for delivery in `delay` microseconds.
    pub(super) fn push(&mut self, delay: u64, message: Message) {
        self.queued_count += 1;
        self.queue.push(Reverse(QueuedMessage {
            at: self.micros + delay,
            number: self.queued_count,
            message,
        }));
    }

    /// Injects a fault at a true time in microseconds.
    pub fn schedule(&mut self, at: u64, fault: Fault) {
        self.push(at.saturating_sub(self.micros), Message::Fault(fault));
    }

    /// Runs until a true time in microseconds; stops delivery at the first violation.
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

    /// Runs until `done` holds, but no longer than `end`; returns the time at which it held.
    ///
    /// The condition is checked every 10 ms.
    pub fn run_until_condition(&mut self, end: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        while self.micros < end {
            if done(self) {
                return Some(self.micros);
            }
            self.run_until((self.micros + 10_000).min(end));
        }
        None
    }

    /// Current time as the host's machine is told it.
    pub(super) fn host_time(&self, host: usize) -> BootTime {
        let host = &self.hosts[host];
        let now = host.clock.read(self.micros);
        BootTime(now.0 + host.clock_skew)
    }
}

/// Index of the server with this id; the reverse of `server_id`.
pub fn server_index(id: &ServerId) -> usize {
    id.as_str().trim_start_matches("server-").parse().unwrap()
}

/// Simulation of 24 shards that runs until all are served and 2 s longer.
pub fn settled_simulation(seed: u64, hosts: usize, servers: usize, checked: bool) -> Simulation {
    let spec = scope_spec(servers, 24, checked);
    let mut simulation = Simulation::new(seed, hosts, spec, DisabledSafeguards::default());
    let settled = simulation.run_until_condition(30 * SECOND, |simulation| simulation.all_served());
    assert!(
        settled.is_some(),
        "seed {seed}: shards not all served within 30 s"
    );
    let start = simulation.micros + 2 * SECOND;
    simulation.run_until(start);
    simulation
}
