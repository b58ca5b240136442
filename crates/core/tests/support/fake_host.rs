//! A simulated host: its steps, calls and copy of the routing map.

use super::prelude::*;

// Intervals and timeouts, in microseconds.
const TICK: u64 = 50_000;
const POLL: u64 = 100_000;
const PEER_TIMEOUT: u64 = 400_000;
const ORDER_TIMEOUT: u64 = 400_000;
const PLATFORM_TIMEOUT: u64 = 1_000_000;
/// A peer counts as live while its last poll is younger than this.
const LIVE_LIMIT: u64 = 1_000_000;

/// State of a host; a restart keeps only its identity and clock.
pub struct FakeHost {
    pub info: HostInfo,
    pub clock: DriftClock,
    /// Number of the process; each restart raises it, and what is addressed to an older one
    /// is dropped.
    pub process: u64,
    pub alive: bool,
    pub resigned: bool,
    pub paused_until: u64,
    /// Length of the pause that holds back the next actions, or 0 for none.
    pub(super) pause_before_send: u64,
    pub machine: ScopeMachine,
    /// Promises that this host has given as an elector.
    pub(super) elector_table: ElectorTable,
    /// Calls that were neither answered nor timed out yet.
    pub(super) calls: BTreeSet<u64>,
    /// Latest map with the end of its validity on this host's clock.
    pub held_map: Option<(Arc<RoutingMap>, BootTime)>,
    /// True time of the latest poll from each peer.
    pub(super) last_polls: BTreeMap<usize, u64>,
    /// Live hosts as last reported to the machine.
    pub(super) live_hosts: Vec<HostInfo>,
    /// For each server a reading of its clock and this host's time when the reading arrived.
    pub(super) server_clocks: BTreeMap<usize, (u64, BootTime)>,
    pub(super) was_controller: bool,
    /// Added to the host's clock to skip the wait for old grants if that safeguard is disabled.
    pub(super) clock_skew: u64,
}

impl Simulation {
    /// Runs a step, after the pause if the host is paused.
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
                self.update_live_hosts(index);
                self.push(TICK, Message::Host(index, process, Step::Tick));
                self.handle_event(index, ScopeEvent::Tick);
            }
            Step::Event(event) => self.handle_event(index, *event),
            Step::Actions(actions) => self.execute_actions(index, actions),
            Step::Poll => {
                self.push(POLL, Message::Host(index, process, Step::Poll));
                self.poll(index);
            }
            Step::PollAnswer { map, valid_until } => self.accept_map(index, map, valid_until),
            Step::Request => {
                let delay = self.rng.random_range(5_000..40_000);
                self.push(delay, Message::Host(index, process, Step::Request));
                self.send_request(index);
            }
        }
    }

    /// Passes an event to the machine and executes the resulting actions.
    pub(super) fn handle_event(&mut self, index: usize, event: ScopeEvent) {
        let now = self.host_time(index);
        let disabled = self.disabled;
        let host = &mut self.hosts[index];
        if let ScopeEvent::ScopeRead {
            result: Ok(Some((_, state))),
            ..
        } = &event
        {
            let service = SERVICE.parse().unwrap();
            host.elector_table.record_scope_object(
                &service,
                state.epoch,
                &state.controller,
                state.nonce,
                now,
            );
        }
        let before = host.machine.role();
        let mut actions = host.machine.handle(event, now);
        let after = host.machine.role();
        if before != after {
            self.log_event(format!("host {index}: {before:?} to {after:?}"));
        }
        let host = &mut self.hosts[index];
        let is_controller = host.machine.role() == ScopeRole::Controller;
        if disabled.grant_grace && is_controller && !host.was_controller {
            host.clock_skew += u64::try_from(GRANT_GRACE.as_micros()).unwrap() + 100_000;
            let later = self.host_time(index);
            let host = &mut self.hosts[index];
            actions.extend(host.machine.handle(ScopeEvent::Tick, later));
        }
        let host = &mut self.hosts[index];
        host.was_controller = is_controller;
        if host.pause_before_send > 0 && !actions.is_empty() {
            host.paused_until = self.micros + std::mem::take(&mut host.pause_before_send);
            let process = host.process;
            self.push(0, Message::Host(index, process, Step::Actions(actions)));
            return;
        }
        self.execute_actions(index, actions);
    }

    pub(super) fn execute_actions(&mut self, index: usize, actions: Vec<ScopeAction>) {
        for action in actions {
            self.execute_action(index, action);
        }
    }

    /// Opens a call that fails with `failure` after `timeout`; returns the process and call numbers.
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

    pub(super) fn execute_action(&mut self, index: usize, action: ScopeAction) {
        let sent_at = self.host_time(index);
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
            ScopeAction::RequestPromise { elector, request } => {
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
        if let Some(delay) = self.network.delay(from, to, &mut self.rng) {
            self.push(delay, message);
        }
    }

    /// Time of the server's clock that is reached no later than `end` on the host's clock.
    ///
    /// `None` while the host has no reading of the server's clock.
    pub(super) fn deadline(&self, host: usize, server: usize, end: BootTime) -> Option<u64> {
        let (reading, received_at) = *self.hosts[host].server_clocks.get(&server)?;
        let ahead = end.since(received_at);
        let behind = received_at.since(end);
        let drift = ahead.as_micros() as u64 * 5_000 / 1_000_000 + 1;
        let deadline =
            (reading + ahead.as_micros() as u64).saturating_sub(drift + behind.as_micros() as u64);
        Some(if self.disabled.deadline {
            u64::MAX
        } else {
            deadline
        })
    }

    /// Asks all other hosts for their map.
    pub(super) fn poll(&mut self, index: usize) {
        let sent_at = self.host_time(index);
        let from = (index, self.hosts[index].process);
        let version = self.hosts[index]
            .held_map
            .as_ref()
            .map(|(map, until)| (map.version, *until));
        for to in 0..self.hosts.len() {
            if to == index {
                continue;
            }
            let message = Message::PollRequest {
                from,
                to,
                sent_at,
                version,
            };
            self.send(Node::Host(index), Node::Host(to), message);
        }
    }

    /// Keeps a map that is newer or valid for longer, and reports it to the machine.
    pub(super) fn accept_map(&mut self, index: usize, map: Arc<RoutingMap>, valid_until: BootTime) {
        let host = &mut self.hosts[index];
        let accepted = match &host.held_map {
            None => true,
            Some((old, until)) => {
                map.version > old.version || (map.version == old.version && valid_until > *until)
            }
        };
        if !accepted {
            return;
        }
        let epoch = map.version.epoch;
        host.held_map = Some((map.clone(), valid_until));
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

    /// Reports the live hosts to the machine if they changed.
    pub(super) fn update_live_hosts(&mut self, index: usize) {
        let mut live_hosts = vec![self.hosts[index].info.clone()];
        for (peer, polled_at) in &self.hosts[index].last_polls {
            if self.micros < polled_at + LIVE_LIMIT {
                live_hosts.push(self.hosts[*peer].info.clone());
            }
        }
        if live_hosts != self.hosts[index].live_hosts {
            self.hosts[index].live_hosts = live_hosts.clone();
            self.handle_event(index, ScopeEvent::HostsChanged(live_hosts));
        }
    }

    /// Sends a request to the owner of a random shard, as the held map names it.
    pub(super) fn send_request(&mut self, index: usize) {
        let now = self.host_time(index);
        let Some((map, until)) = self.hosts[index].held_map.clone() else {
            return;
        };
        if now >= until || map.shards.is_empty() || !self.requests_enabled {
            return;
        }
        let position = self.rng.random_range(0..map.shards.len());
        let entry = map.shards[position];
        let Some(owner) = entry.owner.filter(|_| !entry.moving) else {
            return;
        };
        let server = server_index(&map.servers[usize::from(owner)].id);
        let Some(deadline) = self.deadline(index, server, until) else {
            // Stands in for the first probe, from which a host learns a server's clock.
            let reading = self.servers[server].clock.read(self.micros).0;
            self.hosts[index]
                .server_clocks
                .insert(server, (reading, now));
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

/// A clock that is slow, exact or fast, with a random offset.
pub fn random_clock(rng: &mut ChaCha8Rng) -> DriftClock {
    DriftClock {
        offset: rng.random_range(10..1_000) * SECOND,
        ppm: [-DRIFT_PPM, 0, DRIFT_PPM][rng.random_range(0..3)],
    }
}

/// A host whose process starts at true time `micros`.
pub fn new_host(
    index: usize,
    clock: DriftClock,
    process: u64,
    micros: u64,
    disabled: DisabledSafeguards,
) -> FakeHost {
    let info = host_info(index);
    let now = clock.read(micros);
    let nonce = index as u64 * 1_000 + process;
    let started = if disabled.abstention {
        BootTime(0)
    } else {
        now
    };
    let service = SERVICE.parse().unwrap();
    let mut elector_table = ElectorTable::new(started);
    if disabled.abstention {
        let epoch = Epoch(0);
        elector_table.record_scope_object(&service, epoch, &info.id, nonce, now);
    }
    FakeHost {
        machine: ScopeMachine::new(service, info.clone(), nonce, nonce),
        elector_table,
        info,
        clock,
        process,
        alive: true,
        resigned: false,
        paused_until: 0,
        pause_before_send: 0,
        calls: BTreeSet::new(),
        held_map: None,
        last_polls: BTreeMap::new(),
        live_hosts: Vec::new(),
        server_clocks: BTreeMap::new(),
        was_controller: false,
        clock_skew: 0,
    }
}
