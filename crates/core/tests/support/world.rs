//! The simulated domain.

use {
    super::{
        checker::RunChecker,
        clock::{DRIFT_PPM, DriftClock},
        faults::{Fault, RemovedGuards},
        network::{FakeNetwork, Node},
        server::FakeServer,
        spec::{SERVICE, host_info, scope_spec, server_id},
    },
    camphorcove_core::{
        control::{
            HostInfo, OrderId, ReadFailure, ScopeAction, ScopeEvent, ScopeMachine, ScopeRole,
            ScopeSpec, ServerFailure, ServerOrder, WriteFailure, WriteId,
        },
        election::{ElectorTable, PromiseReply, PromiseRequest, RefuseReason},
        ids::{FencingToken, HostId, ObjectVersion, ServerId, ShardId},
        map::RoutingMap,
        scope::{ScopeState, ShardState},
        time::{BootTime, GRANT_GRACE},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        sync::Arc,
    },
};

const TICK: u64 = 50_000;
const POLL: u64 = 100_000;
const PEER_TIMEOUT: u64 = 400_000;
const ORDER_TIMEOUT: u64 = 400_000;
const PLATFORM_TIMEOUT: u64 = 1_000_000;
const LIVE_LIMIT: u64 = 1_000_000;
pub const SECOND: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Step {
    Tick,
    Event(Box<ScopeEvent>),
    Actions(Vec<ScopeAction>),
    Poll,
    PollAnswer {
        map: Arc<RoutingMap>,
        valid_until: BootTime,
    },
    Request,
}

#[derive(Clone, Debug)]
enum Message {
    /// A step of a host's process; dropped if the process has been replaced.
    Host(usize, u64, Step),
    /// The answer to a call; dropped if the call was answered before.
    Answer(usize, u64, u64, Box<ScopeEvent>),
    Read(usize, u64, u64, BootTime),
    Write(
        usize,
        u64,
        u64,
        WriteId,
        Option<ObjectVersion>,
        Box<ScopeState>,
    ),
    Promise(usize, u64, u64, usize, PromiseRequest, BootTime),
    Order {
        from: (usize, u64),
        call: u64,
        server: usize,
        order: OrderId,
        body: ServerOrder,
        deadline: Option<u64>,
        sent_at: BootTime,
    },
    PollAsk {
        from: (usize, u64),
        to: usize,
        sent_at: BootTime,
        version: Option<(camphorcove_core::map::MapVersion, BootTime)>,
    },
    Request {
        server: usize,
        shard: ShardId,
        token: FencingToken,
        deadline: u64,
    },
    Fault(Fault),
}

#[derive(Clone, Debug)]
struct Queued {
    at: u64,
    number: u64,
    message: Message,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A host: one machine, one elector table, one copy of the map.
pub struct FakeHost {
    pub info: HostInfo,
    pub clock: DriftClock,
    pub process: u64,
    pub alive: bool,
    pub resigned: bool,
    pub paused_until: u64,
    freeze: u64,
    pub machine: ScopeMachine,
    electors: ElectorTable,
    calls: BTreeSet<u64>,
    pub held: Option<(Arc<RoutingMap>, BootTime)>,
    heard: BTreeMap<usize, u64>,
    listed: Vec<HostInfo>,
    clocks: BTreeMap<usize, (u64, BootTime)>,
    was_controller: bool,
    skew: u64,
}

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
    lost_answers: u32,
    /// Faults, writes and changes of role, for the report of a failed run.
    pub log: Vec<String>,
    queue: BinaryHeap<Reverse<Queued>>,
    queued: u64,
    calls: u64,
}

impl World {
    pub fn new(seed: u64, hosts: usize, spec: ScopeSpec, guards: RemovedGuards) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let checked = spec.service.fencing == camphorcove_core::conf::FencingMode::Checked;
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

    fn start_host(&mut self, index: usize) {
        let process = self.hosts[index].process;
        let event = ScopeEvent::SpecChanged(self.spec.clone());
        self.push(
            0,
            Message::Host(index, process, Step::Event(Box::new(event))),
        );
        for step in [Step::Tick, Step::Poll, Step::Request] {
            let delay = self.random.random_range(0..TICK);
            self.push(delay, Message::Host(index, process, step));
        }
    }

    fn note(&mut self, text: String) {
        self.log
            .push(format!("{:.3} {text}", self.micros as f64 / 1e6));
    }

    fn push(&mut self, delay: u64, message: Message) {
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

    fn local(&self, host: usize) -> BootTime {
        let host = &self.hosts[host];
        let now = host.clock.read(self.micros);
        BootTime(now.0 + host.skew)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Host(index, process, step) => self.host_step(index, process, step),
            Message::Answer(index, process, call, event) => {
                let host = &mut self.hosts[index];
                if host.process != process || !host.alive {
                    return;
                }
                if host.paused_until > self.micros {
                    let delay = host.paused_until - self.micros;
                    self.push(delay, Message::Answer(index, process, call, event));
                    return;
                }
                if host.calls.remove(&call) {
                    self.feed(index, *event);
                }
            }
            Message::Read(host, process, call, sent_at) => {
                let result = Ok(self.object.clone());
                let event = ScopeEvent::ScopeRead { sent_at, result };
                self.reply(Node::Platform, (host, process), call, event);
            }
            Message::Write(host, process, call, write, expected, state) => {
                let record = state.records.last().map(|record| record.reason.clone());
                let text = format!("write by host {host}, epoch {}: {record:?}", state.epoch);
                let result = self.apply_write(expected, *state);
                self.note(format!("{text}, {result:?}"));
                if self.lost_answers > 0 {
                    self.lost_answers -= 1;
                    return;
                }
                let event = ScopeEvent::ScopeWritten { write, result };
                self.reply(Node::Platform, (host, process), call, event);
            }
            Message::Promise(host, process, call, elector, request, sent_at) => {
                self.answer_promise((host, process), call, elector, request, sent_at);
            }
            Message::Order { .. } => self.deliver_order(message),
            Message::PollAsk { .. } => self.deliver_poll(message),
            Message::Request {
                server,
                shard,
                token,
                deadline,
            } => self.deliver_request(server, shard, token, deadline),
            Message::Fault(fault) => self.apply_fault(&fault),
        }
    }

    fn apply_write(
        &mut self,
        expected: Option<ObjectVersion>,
        state: ScopeState,
    ) -> Result<ObjectVersion, WriteFailure> {
        let current = self.object.as_ref().map(|(version, _)| *version);
        if current != expected {
            return Err(WriteFailure::Conflict);
        }
        let version = ObjectVersion(current.map_or(1, |version| version.0 + 1));
        self.checker.written(&state, self.micros);
        self.object = Some((version, state));
        Ok(version)
    }

    fn reply(&mut self, from: Node, to: (usize, u64), call: u64, event: ScopeEvent) {
        if let Some(delay) = self.network.delay(from, Node::Host(to.0), &mut self.random) {
            self.push(delay, Message::Answer(to.0, to.1, call, Box::new(event)));
        }
    }

    fn answer_promise(
        &mut self,
        from: (usize, u64),
        call: u64,
        elector: usize,
        request: PromiseRequest,
        sent_at: BootTime,
    ) {
        let host = &self.hosts[elector];
        if !host.alive {
            return;
        }
        if host.paused_until > self.micros {
            let delay = host.paused_until - self.micros;
            let again = Message::Promise(from.0, from.1, call, elector, request, sent_at);
            self.push(delay, again);
            return;
        }
        let now = self.local(elector);
        let service = SERVICE.parse().unwrap();
        if !self.hosts[elector].electors.has_read(&service) {
            self.act(elector, ScopeAction::ReadScope);
        }
        let mut reply = self.hosts[elector].electors.answer(&request, now);
        let refused = matches!(
            reply,
            PromiseReply::Refused {
                reason: RefuseReason::PromisedElsewhere,
                ..
            }
        );
        if self.guards.elector_wait && refused {
            reply = PromiseReply::Promised;
        }
        let event = ScopeEvent::PromiseAnswered {
            elector: self.hosts[elector].info.id.clone(),
            sent_at,
            reply: Some(reply),
        };
        self.reply(Node::Host(elector), from, call, event);
    }

    fn host_step(&mut self, index: usize, process: u64, step: Step) {
        let host = &self.hosts[index];
        if host.process != process || !host.alive {
            return;
        }
        if host.paused_until > self.micros {
            let delay = host.paused_until - self.micros;
            self.push(delay, Message::Host(index, process, step));
            return;
        }
        match step {
            Step::Tick => {
                self.update_listed(index);
                self.push(TICK, Message::Host(index, process, Step::Tick));
                self.feed(index, ScopeEvent::Tick);
            }
            Step::Event(event) => self.feed(index, *event),
            Step::Actions(actions) => self.carry_out(index, actions),
            Step::Poll => {
                self.push(POLL, Message::Host(index, process, Step::Poll));
                self.poll(index);
            }
            Step::PollAnswer { map, valid_until } => self.accept_map(index, map, valid_until),
            Step::Request => {
                let delay = self.random.random_range(5_000..40_000);
                self.push(delay, Message::Host(index, process, Step::Request));
                self.send_request(index);
            }
        }
    }

    fn feed(&mut self, index: usize, event: ScopeEvent) {
        let now = self.local(index);
        let guards = self.guards;
        let host = &mut self.hosts[index];
        if let ScopeEvent::ScopeRead {
            result: Ok(Some((_, state))),
            ..
        } = &event
        {
            let service = SERVICE.parse().unwrap();
            host.electors
                .scope_read(&service, state.epoch, &state.controller, state.nonce, now);
        }
        let before = host.machine.role();
        let mut actions = host.machine.handle(event, now);
        let after = host.machine.role();
        if before != after {
            self.note(format!("host {index}: {before:?} to {after:?}"));
        }
        let host = &mut self.hosts[index];
        let is_controller = host.machine.role() == ScopeRole::Controller;
        if guards.grant_grace && is_controller && !host.was_controller {
            host.skew += u64::try_from(GRANT_GRACE.as_micros()).unwrap() + 100_000;
            let later = self.local(index);
            let host = &mut self.hosts[index];
            actions.extend(host.machine.handle(ScopeEvent::Tick, later));
        }
        let host = &mut self.hosts[index];
        host.was_controller = is_controller;
        if host.freeze > 0 && !actions.is_empty() {
            host.paused_until = self.micros + std::mem::take(&mut host.freeze);
            let process = host.process;
            self.push(0, Message::Host(index, process, Step::Actions(actions)));
            return;
        }
        self.carry_out(index, actions);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<ScopeAction>) {
        for action in actions {
            self.act(index, action);
        }
    }

    fn new_call(&mut self, index: usize, timeout: u64, failure: ScopeEvent) -> (u64, u64) {
        self.calls += 1;
        let call = self.calls;
        let process = self.hosts[index].process;
        self.hosts[index].calls.insert(call);
        let message = Message::Answer(index, process, call, Box::new(failure));
        self.push(timeout, message);
        (process, call)
    }

    fn act(&mut self, index: usize, action: ScopeAction) {
        let sent_at = self.local(index);
        match action {
            ScopeAction::ReadScope => {
                let result = Err(ReadFailure::Unavailable);
                let failure = ScopeEvent::ScopeRead { sent_at, result };
                let (process, call) = self.new_call(index, PLATFORM_TIMEOUT, failure);
                let message = Message::Read(index, process, call, sent_at);
                self.send(Node::Host(index), Node::Platform, message);
            }
            ScopeAction::WriteScope {
                write,
                expected,
                state,
            } => {
                let result = Err(WriteFailure::Unknown);
                let failure = ScopeEvent::ScopeWritten { write, result };
                let (process, call) = self.new_call(index, PLATFORM_TIMEOUT, failure);
                let message = Message::Write(index, process, call, write, expected, state);
                self.send(Node::Host(index), Node::Platform, message);
            }
            ScopeAction::AskPromise { elector, request } => {
                let failure = ScopeEvent::PromiseAnswered {
                    elector: elector.clone(),
                    sent_at,
                    reply: None,
                };
                let (process, call) = self.new_call(index, PEER_TIMEOUT, failure);
                let to = self.host_index(&elector);
                let message = Message::Promise(index, process, call, to, request, sent_at);
                self.send(Node::Host(index), Node::Host(to), message);
            }
            ScopeAction::SendOrder {
                server,
                order,
                body,
                valid_until,
            } => {
                let failure = ScopeEvent::OrderAnswered {
                    server: server.clone(),
                    order,
                    sent_at,
                    result: Err(ServerFailure::NoReply),
                };
                let (process, call) = self.new_call(index, ORDER_TIMEOUT, failure);
                let to = server_index(&server);
                let message = Message::Order {
                    from: (index, process),
                    call,
                    server: to,
                    order,
                    body,
                    deadline: self.deadline(index, to, valid_until),
                    sent_at,
                };
                self.send(Node::Host(index), Node::Server(to), message);
            }
            ScopeAction::PublishMap { map, valid_until } => {
                self.checker.published(&map, self.micros);
                self.accept_map(index, map, valid_until);
            }
            ScopeAction::OfferHandover { host } => {
                let to = self.host_index(&host);
                let process = self.hosts[to].process;
                let step = Step::Event(Box::new(ScopeEvent::HandoverOffered));
                let message = Message::Host(to, process, step);
                self.send(Node::Host(index), Node::Host(to), message);
            }
            ScopeAction::SteppedDown => {}
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        if let Some(delay) = self.network.delay(from, to, &mut self.random) {
            self.push(delay, message);
        }
    }

    /// A server time that is reached no later than `end` on the host's clock.
    fn deadline(&self, host: usize, server: usize, end: BootTime) -> Option<u64> {
        let (reading, received_at) = *self.hosts[host].clocks.get(&server)?;
        let ahead = end.since(received_at);
        let behind = received_at.since(end);
        let drift = ahead.as_micros() as u64 * 5_000 / 1_000_000 + 1;
        let deadline =
            (reading + ahead.as_micros() as u64).saturating_sub(drift + behind.as_micros() as u64);
        Some(if self.guards.deadline {
            u64::MAX
        } else {
            deadline
        })
    }

    fn deliver_order(&mut self, message: Message) {
        let Message::Order {
            from,
            call,
            server,
            order,
            body,
            deadline,
            sent_at,
        } = message.clone()
        else {
            return;
        };
        let grants = !matches!(&body, ServerOrder::Renew { ttl, .. } if ttl.is_zero());
        assert!(
            deadline.is_some() || !grants,
            "an order that matters was sent to a server whose clock is unknown: {body:?}"
        );
        let target = &mut self.servers[server];
        if !target.alive {
            return;
        }
        if target.paused_until > self.micros {
            let delay = target.paused_until - self.micros;
            self.push(delay, message);
            return;
        }
        let reply = target.take_order(&body, deadline, self.micros);
        let reading = target.clock.read(self.micros).0;
        if reply.result == camphorcove_core::control::ServerResult::Done {
            self.checker
                .granted(&body, server, &self.servers, self.micros);
        }
        let event = ScopeEvent::OrderAnswered {
            server: server_id(server),
            order,
            sent_at,
            result: Ok(reply),
        };
        // The clock reading travels with the reply; it counts as received when it was sent or later.
        let to = Node::Host(from.0);
        let delay = self
            .network
            .delay(Node::Server(server), to, &mut self.random);
        if let Some(delay) = delay {
            let arrives = self.micros + delay;
            let host = &self.hosts[from.0];
            let received_at = BootTime(host.clock.read(arrives).0 + host.skew);
            if host.process == from.1 {
                self.hosts[from.0]
                    .clocks
                    .insert(server, (reading, received_at));
            }
            self.push(
                delay,
                Message::Answer(from.0, from.1, call, Box::new(event)),
            );
        }
    }

    fn poll(&mut self, index: usize) {
        let sent_at = self.local(index);
        let from = (index, self.hosts[index].process);
        let version = self.hosts[index]
            .held
            .as_ref()
            .map(|(map, until)| (map.version, *until));
        for to in 0..self.hosts.len() {
            if to == index {
                continue;
            }
            let message = Message::PollAsk {
                from,
                to,
                sent_at,
                version,
            };
            self.send(Node::Host(index), Node::Host(to), message);
        }
    }

    fn deliver_poll(&mut self, message: Message) {
        let Message::PollAsk {
            from, to, sent_at, ..
        } = message.clone()
        else {
            return;
        };
        if !self.hosts[to].alive {
            return;
        }
        if self.hosts[to].paused_until > self.micros {
            let delay = self.hosts[to].paused_until - self.micros;
            self.push(delay, message);
            return;
        }
        self.hosts[to].heard.insert(from.0, self.micros);
        let Some((map, until)) = self.hosts[to].held.clone() else {
            return;
        };
        let remaining = until.since(self.local(to));
        if remaining.is_zero() {
            return;
        }
        let step = Step::PollAnswer {
            map,
            valid_until: sent_at + remaining,
        };
        let answer = Message::Host(from.0, from.1, step);
        self.send(Node::Host(to), Node::Host(from.0), answer);
    }

    fn accept_map(&mut self, index: usize, map: Arc<RoutingMap>, valid_until: BootTime) {
        let host = &mut self.hosts[index];
        let accepted = match &host.held {
            None => true,
            Some((old, until)) => {
                map.version > old.version || (map.version == old.version && valid_until > *until)
            }
        };
        if !accepted {
            return;
        }
        let epoch = map.version.epoch;
        host.held = Some((map.clone(), valid_until));
        let event = ScopeEvent::MapObserved {
            epoch,
            valid_until,
            map: Some(map),
        };
        let process = host.process;
        self.push(
            0,
            Message::Host(index, process, Step::Event(Box::new(event))),
        );
    }

    fn update_listed(&mut self, index: usize) {
        let mut listed = vec![self.hosts[index].info.clone()];
        for (peer, heard_at) in &self.hosts[index].heard {
            if self.micros < heard_at + LIVE_LIMIT {
                listed.push(self.hosts[*peer].info.clone());
            }
        }
        if listed != self.hosts[index].listed {
            self.hosts[index].listed = listed.clone();
            self.feed(index, ScopeEvent::HostsChanged(listed));
        }
    }

    fn send_request(&mut self, index: usize) {
        let now = self.local(index);
        let Some((map, until)) = self.hosts[index].held.clone() else {
            return;
        };
        if now >= until || map.shards.is_empty() || !self.requests {
            return;
        }
        let position = self.random.random_range(0..map.shards.len());
        let entry = map.shards[position];
        let Some(owner) = entry.owner.filter(|_| !entry.moving) else {
            return;
        };
        let server = server_index(&map.servers[usize::from(owner)].id);
        let Some(deadline) = self.deadline(index, server, until) else {
            // A host learns a server's clock with its first probe.
            let reading = self.servers[server].clock.read(self.micros).0;
            self.hosts[index].clocks.insert(server, (reading, now));
            return;
        };
        let message = Message::Request {
            server,
            shard: ShardId(u32::try_from(position).unwrap()),
            token: entry.token,
            deadline,
        };
        self.send(Node::Host(index), Node::Server(server), message);
    }

    fn deliver_request(
        &mut self,
        server: usize,
        shard: ShardId,
        token: FencingToken,
        deadline: u64,
    ) {
        let target = &mut self.servers[server];
        if !target.alive {
            return;
        }
        if target.paused_until > self.micros {
            let delay = target.paused_until - self.micros;
            let again = Message::Request {
                server,
                shard,
                token,
                deadline,
            };
            self.push(delay, again);
            return;
        }
        if target.runs(shard, token, deadline, self.micros) {
            self.checker.executed(shard, token, server, self.micros);
        }
    }

    pub fn host_index(&self, id: &HostId) -> usize {
        self.hosts
            .iter()
            .position(|host| host.info.id == *id)
            .unwrap()
    }

    /// Live host that has authority, if there is one.
    pub fn controller(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|&index| {
            let host = &self.hosts[index];
            host.alive
                && host.machine.role() == ScopeRole::Controller
                && host.machine.authority_end() > self.local(index)
        })
    }

    /// Shards for which a live server holds a live grant under the written token.
    pub fn served_shards(&self) -> usize {
        let Some((_, state)) = &self.object else {
            return 0;
        };
        let mut served = 0;
        for (index, shard) in state.shards.iter().enumerate() {
            let ShardState::Owned { server, token } = shard else {
                continue;
            };
            let server = &self.servers[server_index(server)];
            let id = ShardId(u32::try_from(index).unwrap());
            if server.paused_until <= self.micros && server.holds(id, self.micros) == Some(*token) {
                served += 1;
            }
        }
        served
    }

    pub fn all_served(&self) -> bool {
        self.served_shards() == self.spec.service.shards as usize
    }

    /// Gives a new specification to all hosts.
    pub fn set_spec(&mut self, spec: ScopeSpec) {
        self.spec = Arc::new(spec);
        for index in 0..self.hosts.len() {
            let process = self.hosts[index].process;
            let event = ScopeEvent::SpecChanged(self.spec.clone());
            let step = Step::Event(Box::new(event));
            self.push(1_000, Message::Host(index, process, step));
        }
    }

    /// Delivers an event to a host now.
    pub fn tell(&mut self, index: usize, event: ScopeEvent) {
        let process = self.hosts[index].process;
        let step = Step::Event(Box::new(event));
        self.push(0, Message::Host(index, process, step));
    }

    pub fn nodes(&self) -> Vec<Node> {
        let mut nodes = vec![Node::Platform];
        nodes.extend((0..self.hosts.len()).map(Node::Host));
        nodes.extend((0..self.servers.len()).map(Node::Server));
        nodes
    }

    pub fn apply_fault(&mut self, fault: &Fault) {
        let micros = self.micros;
        self.note(format!("{fault:?}"));
        match *fault {
            Fault::KillHost(host) => self.hosts[host].alive = false,
            Fault::RestartHost(host) => self.restart_host(host),
            Fault::PauseHost(host, span) => self.hosts[host].paused_until = micros + span,
            Fault::FreezeBeforeSend(host, span) => self.hosts[host].freeze = span,
            Fault::CutHost {
                host,
                inbound,
                outbound,
            } => {
                let nodes = self.nodes();
                self.network
                    .cut(Node::Host(host), &nodes, inbound, outbound);
            }
            Fault::CutFromPlatform(host) => {
                let others = [Node::Platform];
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::LosePlatformAnswers(host) => {
                let link = (Node::Platform, Node::Host(host));
                self.network.blocked.insert(link);
            }
            Fault::LoseWriteAnswers(count) => self.lost_answers = count,
            Fault::CutFromHosts(host) => {
                let others: Vec<Node> = (0..self.hosts.len()).map(Node::Host).collect();
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::CutFromServer(host, server) => {
                let others = [Node::Server(server)];
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::KillServer(server) => self.servers[server].alive = false,
            Fault::RestartServer(server) => self.servers[server].restart(),
            Fault::PauseServer(server, span) => self.servers[server].paused_until = micros + span,
            Fault::DrainServer(server, draining) => self.servers[server].draining = draining,
            Fault::PlatformDown => self.network.platform_down = true,
            Fault::PlatformSlow(delay) => self.network.platform_delay = delay,
            Fault::Loss(percent) => self.network.loss = percent,
            Fault::Slow(percent, delay) => {
                self.network.slow = percent;
                self.network.long_delay = delay;
            }
            Fault::Resign(host) => {
                self.hosts[host].resigned = true;
                self.tell(host, ScopeEvent::Resign);
            }
            Fault::ConfirmLost => {
                for host in 0..self.hosts.len() {
                    self.tell(host, ScopeEvent::ConfirmLost);
                }
            }
            Fault::Heal => self.network.heal(),
            Fault::KillController => {
                if let Some(host) = self.controller() {
                    self.hosts[host].alive = false;
                }
            }
            Fault::KillControllerAndServer(server) => {
                self.servers[server].alive = false;
                self.apply_fault(&Fault::KillController);
            }
        }
    }

    fn restart_host(&mut self, index: usize) {
        let old = &self.hosts[index];
        let host = new_host(index, old.clock, old.process + 1, self.micros, self.guards);
        self.hosts[index] = host;
        self.start_host(index);
    }
}

fn any_clock(random: &mut ChaCha8Rng) -> DriftClock {
    DriftClock {
        offset: random.random_range(10..1_000) * SECOND,
        ppm: [-DRIFT_PPM, 0, DRIFT_PPM][random.random_range(0..3)],
    }
}

fn new_host(
    index: usize,
    clock: DriftClock,
    process: u64,
    micros: u64,
    guards: RemovedGuards,
) -> FakeHost {
    let info = host_info(index);
    let now = clock.read(micros);
    let nonce = index as u64 * 1_000 + process;
    let started = if guards.abstention { BootTime(0) } else { now };
    let service = SERVICE.parse().unwrap();
    let mut electors = ElectorTable::new(started);
    if guards.abstention {
        let epoch = camphorcove_core::ids::Epoch(0);
        electors.scope_read(&service, epoch, &info.id, nonce, now);
    }
    FakeHost {
        machine: ScopeMachine::new(service, info.clone(), nonce, nonce),
        electors,
        info,
        clock,
        process,
        alive: true,
        resigned: false,
        paused_until: 0,
        freeze: 0,
        calls: BTreeSet::new(),
        held: None,
        heard: BTreeMap::new(),
        listed: Vec::new(),
        clocks: BTreeMap::new(),
        was_controller: false,
        skew: 0,
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
