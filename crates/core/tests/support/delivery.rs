//! Delivery of messages to the platform, electors, servers and hosts.

use super::prelude::*;

impl Simulation {
    /// Handles a message at its receiver; dead receivers drop it and paused ones get it later.
    pub(super) fn deliver(&mut self, message: Message) {
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
                    self.handle_event(index, *event);
                }
            }
            Message::Read(host, process, call, sent_at) => {
                let result = Ok(self.scope_object.clone());
                let event = ScopeEvent::ScopeRead { sent_at, result };
                self.reply(Node::Platform, (host, process), call, event);
            }
            Message::Write(host, process, call, write, expected, state) => {
                let record = state.records.last().map(|record| record.reason.clone());
                let text = format!("write by host {host}, epoch {}: {record:?}", state.epoch);
                let result = self.apply_write(expected, *state);
                self.log_event(format!("{text}, {result:?}"));
                if self.write_answers_to_lose > 0 {
                    self.write_answers_to_lose -= 1;
                    return;
                }
                let event = ScopeEvent::ScopeWritten { write, result };
                self.reply(Node::Platform, (host, process), call, event);
            }
            Message::Promise(host, process, call, elector, request, sent_at) => {
                self.answer_promise((host, process), call, elector, request, sent_at);
            }
            Message::Order { .. } => self.deliver_order(message),
            Message::PollRequest { .. } => self.deliver_poll(message),
            Message::Request {
                server,
                shard,
                token,
                deadline,
            } => self.deliver_request(server, shard, token, deadline),
            Message::Fault(fault) => self.apply_fault(&fault),
        }
    }

    /// Compare-and-set write of the scope object, as the platform does it.
    pub(super) fn apply_write(
        &mut self,
        expected: Option<ObjectVersion>,
        state: ScopeState,
    ) -> Result<ObjectVersion, WriteFailure> {
        let current = self.scope_object.as_ref().map(|(version, _)| *version);
        if current != expected {
            return Err(WriteFailure::Conflict);
        }
        let version = ObjectVersion(current.map_or(1, |version| version.0 + 1));
        self.checker.written(&state, self.micros);
        self.scope_object = Some((version, state));
        Ok(version)
    }

    /// Sends the answer to a call over the network, which may lose or delay it.
    pub(super) fn reply(&mut self, from: Node, to: (usize, u64), call: u64, event: ScopeEvent) {
        if let Some(delay) = self.network.delay(from, Node::Host(to.0), &mut self.rng) {
            self.push(delay, Message::Answer(to.0, to.1, call, Box::new(event)));
        }
    }

    pub(super) fn answer_promise(
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
        let now = self.host_time(elector);
        let service = SERVICE.parse().unwrap();
        if !self.hosts[elector]
            .elector_table
            .has_read_scope_object(&service)
        {
            self.execute_action(elector, ScopeAction::ReadScope);
        }
        let mut reply = self.hosts[elector].elector_table.answer(&request, now);
        let refused = matches!(
            reply,
            PromiseReply::Refused {
                reason: RefuseReason::PromisedElsewhere,
                ..
            }
        );
        if self.disabled.elector_wait && refused {
            reply = PromiseReply::Promised;
        }
        let event = ScopeEvent::PromiseAnswered {
            elector: self.hosts[elector].info.id.clone(),
            sent_at,
            reply: Some(reply),
        };
        self.reply(Node::Host(elector), from, call, event);
    }

    pub(super) fn deliver_order(&mut self, message: Message) {
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
        let reply = target.handle_order(&body, deadline, self.micros);
        let reading = target.clock.read(self.micros).0;
        if reply.result == ServerResult::Done {
            self.checker
                .granted(&body, server, &self.servers, self.micros);
        }
        let event = ScopeEvent::OrderAnswered {
            server: server_id(server),
            order,
            sent_at,
            result: Ok(reply),
        };
        // The reply carries a reading of the server's clock, paired with the host's time at arrival:
        // a later host time yields earlier deadlines, which is the safe direction.
        let to = Node::Host(from.0);
        let delay = self.network.delay(Node::Server(server), to, &mut self.rng);
        if let Some(delay) = delay {
            let arrives = self.micros + delay;
            let host = &self.hosts[from.0];
            let received_at = BootTime(host.clock.read(arrives).0 + host.clock_skew);
            if host.process == from.1 {
                self.hosts[from.0]
                    .server_clocks
                    .insert(server, (reading, received_at));
            }
            self.push(
                delay,
                Message::Answer(from.0, from.1, call, Box::new(event)),
            );
        }
    }

    /// Answers a map poll with the held map and the validity it has left.
    pub(super) fn deliver_poll(&mut self, message: Message) {
        let Message::PollRequest {
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
        self.hosts[to].last_polls.insert(from.0, self.micros);
        let Some((map, until)) = self.hosts[to].held_map.clone() else {
            return;
        };
        let remaining = until.since(self.host_time(to));
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

    pub(super) fn deliver_request(
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
        if target.accepts_request(shard, token, deadline, self.micros) {
            self.checker.executed(shard, token, server, self.micros);
        }
    }
}
