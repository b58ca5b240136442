//! A host with its machine, its electors and its copy of the map.

use super::prelude::*;

const TICK: u64 = 50_000;
const POLL: u64 = 100_000;
const PEER_TIMEOUT: u64 = 400_000;
const ORDER_TIMEOUT: u64 = 400_000;
const PLATFORM_TIMEOUT: u64 = 1_000_000;
/// A host counts as live while its last poll is at most this old.
const LIVE_LIMIT: u64 = 1_000_000;

/// A host: one machine, one elector table, one copy of the map.
pub struct FakeHost {
    pub info: HostInfo,
    pub clock: DriftClock,
    pub process: u64,
    pub alive: bool,
    pub resigned: bool,
    pub paused_until: u64,
    pub(super) freeze: u64,
    pub machine: ScopeMachine,
    pub(super) electors: ElectorTable,
    pub(super) calls: BTreeSet<u64>,
    pub held: Option<(Arc<RoutingMap>, BootTime)>,
    pub(super) heard: BTreeMap<usize, u64>,
    pub(super) listed: Vec<HostInfo>,
    pub(super) clocks: BTreeMap<usize, (u64, BootTime)>,
    pub(super) was_controller: bool,
    pub(super) skew: u64,
}

impl World {
    pub(super) fn host_step(&mut self, index: usize, process: u64, step: Step) {
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

    pub(super) fn feed(&mut self, index: usize, event: ScopeEvent) {
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

    pub(super) fn carry_out(&mut self, index: usize, actions: Vec<ScopeAction>) {
        for action in actions {
            self.act(index, action);
        }
    }

    pub(super) fn new_call(
        &mut self,
        index: usize,
        timeout: u64,
        failure: ScopeEvent,
    ) -> (u64, u64) {
        self.calls += 1;
        let call = self.calls;
        let process = self.hosts[index].process;
        self.hosts[index].calls.insert(call);
        let message = Message::Answer(index, process, call, Box::new(failure));
        self.push(timeout, message);
        (process, call)
    }

    pub(super) fn act(&mut self, index: usize, action: ScopeAction) {
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

    pub(super) fn send(&mut self, from: Node, to: Node, message: Message) {
        if let Some(delay) = self.network.delay(from, to, &mut self.random) {
            self.push(delay, message);
        }
    }

    /// A server time that is reached no later than `end` on the host's clock.
    pub(super) fn deadline(&self, host: usize, server: usize, end: BootTime) -> Option<u64> {
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

    pub(super) fn poll(&mut self, index: usize) {
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

    pub(super) fn accept_map(&mut self, index: usize, map: Arc<RoutingMap>, valid_until: BootTime) {
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

    pub(super) fn update_listed(&mut self, index: usize) {
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

    pub(super) fn send_request(&mut self, index: usize) {
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
}

pub fn any_clock(random: &mut ChaCha8Rng) -> DriftClock {
    DriftClock {
        offset: random.random_range(10..1_000) * SECOND,
        ppm: [-DRIFT_PPM, 0, DRIFT_PPM][random.random_range(0..3)],
    }
}

pub fn new_host(
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
        let epoch = Epoch(0);
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
