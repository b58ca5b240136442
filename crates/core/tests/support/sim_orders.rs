//! Orders of the simulation on their way to servers, and their answers.

use {
    super::{RangeSimulation, STEP, kept_connections::OrderAnswer, sim_server::HeldLease},
    camphorcove_core::{
        ids::ServiceName,
        ownership::{
            AnswerVerdict, KeyRange, ORDER_TIMEOUT, OrderFailure, PlanAction, PlanInput,
            ServerInstance,
        },
        time::BootTime,
    },
    rand::RngExt,
    std::time::Duration,
};

enum OrderKind {
    Grant { lease: Duration },
    Release,
}

pub(super) struct OrderInFlight {
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
    /// When the server answers an order that it has carried out, as work on its keys has to end.
    answers_at: BootTime,
    /// Answer of the server, and the start that gives it.
    result: Option<(OrderAnswer, ServerInstance)>,
    /// Whether the leader has been told the result.
    reported: bool,
    /// Whether the order has been sent again, on a new connection, as its answer was in doubt.
    repeated: bool,
}

impl RangeSimulation {
    /// Sends an order, with its faults drawn at random.
    pub(super) fn send(&mut self, leader: u64, term: u64, action: PlanAction) {
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
            answers_at: self.now,
            result: None,
            reported: false,
            repeated: false,
        });
    }

    /// Carries out the orders that are due, and tells leaders results and time-outs.
    pub(super) fn deliver_orders(&mut self) {
        let mut orders = std::mem::take(&mut self.orders);
        for order in &mut orders {
            if !order.ran && self.now >= order.runs_at {
                order.ran = true;
                order.result = self.execute_order(order);
                order.answers_at = self.work_end(order);
            }
            if order.answered
                && !order.reported
                && self.now >= order.answers_at
                && let Some((result, server)) = order.result.take()
                && self.is_running(&server)
            {
                self.receive_answer(order, result, &server);
            }
            if !order.reported && self.now >= order.times_out_at {
                order.reported = true;
                self.connections.close(order.leader, &order.server);
                self.report_result(order, Err(OrderFailure::Unanswered));
            }
        }
        orders.retain(|order| !(order.ran && order.reported));
        orders.append(&mut self.orders);
        self.orders = orders;
    }

    /// Takes an answer for that to an order, as the leader's host does. Releases and repetitions have
    /// connections of their own.
    fn receive_answer(
        &mut self,
        order: &mut OrderInFlight,
        result: OrderAnswer,
        server: &ServerInstance,
    ) {
        let is_release = matches!(order.kind, OrderKind::Release);
        let (result, is_first) = match order.repeated || is_release {
            true => (result, true),
            false => self.connections.receive(
                (order.leader, &order.server),
                (result, server),
                self.faults.extra_answers,
            ),
        };
        let verdict = AnswerVerdict::of(result.err(), is_first);
        if verdict == AnswerVerdict::AskAgain {
            order.repeated = true;
            order.ran = false;
            order.arrives_at = self.now + STEP;
            order.runs_at = order.arrives_at;
            return;
        }
        let result = match (verdict, order.repeated) {
            (AnswerVerdict::Unknown, _) => Err(OrderFailure::Unanswered),
            (_, true) => AnswerVerdict::after_repetition(result),
            (_, false) => result,
        };
        order.reported = true;
        self.report_result(order, result);
    }

    /// Carries out an order at the server with its address; `None` if it does not reach a server.
    fn execute_order(&mut self, order: &OrderInFlight) -> Option<(OrderAnswer, ServerInstance)> {
        let at = self.servers.iter().position(|server| {
            server.instance.address == order.server.address
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
        let instance = server.instance.clone();
        // Orders name the id of the server only, so a server that has started again carries out
        // those for its earlier incarnation which arrive now.
        if instance.id != order.server.id {
            return Some((Err(OrderFailure::OtherServer), instance));
        }
        let result = match order.kind {
            OrderKind::Release => {
                self.begin_work(at, order.range);
                self.servers[at].release(order.range);
                Ok(())
            }
            OrderKind::Grant { lease } => self.grant(at, order, lease),
        };
        Some((result, instance))
    }

    /// Draws whether requests on held keys of the range run on after their release.
    fn begin_work(&mut self, at: usize, range: KeyRange) {
        let chance: f64 = self.entry_random.random();
        let length = Duration::from_millis(self.entry_random.random_range(100..1_800));
        if chance < self.faults.work_chance {
            self.servers[at].begin_work(range, self.now, self.now + length);
        }
    }

    /// Time at which the server can answer the order.
    fn work_end(&self, order: &OrderInFlight) -> BootTime {
        let is_release = matches!(order.kind, OrderKind::Release);
        let mut servers = self.servers.iter();
        let server = servers.find(|server| {
            is_release && server.up && server.instance.address == order.server.address
        });
        server.map_or(self.now, |server| server.work_end(order.range, self.now))
    }

    fn is_running(&self, instance: &ServerInstance) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| server.up && server.instance == *instance)
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
                token_offset: order.order_token - token,
                server,
                result: result.map(|()| None),
            },
        };
        leader.planner.handle_input(input, self.now);
    }
}
