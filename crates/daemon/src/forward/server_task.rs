//! The task that owns one server's slots, queue and idle connections.

use {
    super::{
        Permit, ServerHandle,
        permit::DeadlineSwitch,
        server_connection::{ConnectionToken, ServerConnection},
        server_handle::{PermitReply, ServerGauge, ServerLimits, ServerMessage},
    },
    camphorcove_core::{
        admission::{AdmissionDecision, AdmissionQueue, QueueOrder, QueueStep, QueuedRequest},
        outcome::ResultCode,
        time::BootTime,
    },
    camphorcove_net::clock::BootClock,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering::Relaxed},
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        time::{Instant, sleep_until},
    },
};

#[derive(Debug)]
struct ActiveRequest {
    started: BootTime,
    deadline: BootTime,
    switch: Arc<DeadlineSwitch>,
}

#[derive(Debug)]
struct WaitingRequest {
    deadline: BootTime,
    reply: PermitReply,
}

/// State of a server's task.
#[derive(Debug)]
pub struct ServerTask {
    clock: BootClock,
    mailbox: UnboundedSender<ServerMessage>,
    gauge: Arc<ServerGauge>,
    admission_queue: AdmissionQueue,
    connections: u32,
    open: u32,
    idle: Vec<ServerConnection>,
    active: HashMap<u64, ActiveRequest>,
    waiting: HashMap<u64, WaitingRequest>,
    /// Requests with a slot that wait for a connection within the server's limit.
    starved: VecDeque<(u64, WaitingRequest)>,
    retired: bool,
}

impl ServerTask {
    /// Starts the task of a server.
    pub fn start(address: SocketAddr, limits: ServerLimits, clock: BootClock) -> ServerHandle {
        let (mailbox, messages) = unbounded_channel();
        let gauge = Arc::<ServerGauge>::default();
        let task = Self {
            clock,
            mailbox: mailbox.clone(),
            gauge: gauge.clone(),
            admission_queue: AdmissionQueue::new(limits.admission_limits, QueueOrder::default()),
            connections: limits.connections,
            open: 0,
            idle: Vec::new(),
            active: HashMap::new(),
            waiting: HashMap::new(),
            starved: VecDeque::new(),
            retired: false,
        };
        tokio::spawn(task.run(messages));
        ServerHandle::new(address, mailbox, gauge)
    }

    async fn run(mut self, mut messages: UnboundedReceiver<ServerMessage>) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        let mut armed: Option<BootTime> = None;
        while !self.done() {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = &mut timer, if armed.is_some() => armed = None,
            }
            let now = self.clock.now();
            self.expire(now);
            self.admit(now);
            self.publish();
            let next = self.next_deadline();
            if next.is_some_and(|next| armed.is_none_or(|armed| next < armed)) {
                armed = next;
                let wait = armed.unwrap_or(now).since(now);
                timer.as_mut().reset(Instant::now() + wait);
            }
        }
    }

    fn done(&self) -> bool {
        self.retired && self.active.is_empty()
    }

    fn handle(&mut self, message: ServerMessage) {
        match message {
            ServerMessage::Acquire { waiter, reply } => self.acquire(waiter, reply),
            ServerMessage::Leave(ticket) => self.leave(ticket),
            ServerMessage::Release {
                ticket,
                connection,
                completed,
            } => self.release(ticket, connection, completed),
            ServerMessage::Closed => {
                self.open = self.open.saturating_sub(1);
                self.idle.retain(|connection| !connection.is_closed());
            }
            ServerMessage::Update(limits) => {
                self.admission_queue.set_limits(limits.admission_limits);
                self.connections = limits.connections;
            }
            ServerMessage::Retire => self.retire(),
        }
    }

    fn acquire(&mut self, waiter: QueuedRequest, reply: PermitReply) {
        if self.retired {
            let _ = reply.send(Err(ResultCode::StaleRoute));
            return;
        }
        let request = WaitingRequest {
            deadline: waiter.deadline,
            reply,
        };
        match self.admission_queue.offer(waiter, self.clock.now()) {
            AdmissionDecision::Run => self.start_request(waiter.ticket, request),
            AdmissionDecision::Refuse(code) => refuse(request, code),
            AdmissionDecision::Wait { evicted } => {
                self.waiting.insert(waiter.ticket, request);
                if let Some(ticket) = evicted {
                    self.refuse_waiting(ticket, ResultCode::QueueFull);
                }
            }
        }
    }

    fn leave(&mut self, ticket: u64) {
        self.admission_queue.leave(ticket);
        self.waiting.remove(&ticket);
        self.drop_starved(|starved, _| starved == ticket);
    }

    /// Refuses requests that have a slot but no connection, and frees their slots.
    fn drop_starved(&mut self, gone: impl Fn(u64, BootTime) -> bool) {
        for (ticket, request) in std::mem::take(&mut self.starved) {
            if gone(ticket, request.deadline) {
                self.admission_queue.finish(None);
                refuse(request, ResultCode::DeadlineTooShort);
            } else {
                self.starved.push_back((ticket, request));
            }
        }
    }

    fn release(&mut self, ticket: u64, connection: Option<ServerConnection>, completed: bool) {
        let Some(request) = self.active.remove(&ticket) else {
            return;
        };
        let held = self.clock.now().since(request.started);
        self.admission_queue.finish(completed.then_some(held));
        let usable = connection.filter(|connection| !connection.is_closed() && !self.retired);
        self.idle.extend(usable);
    }

    fn retire(&mut self) {
        self.retired = true;
        self.idle.clear();
        self.drop_starved(|_, _| true);
        for ticket in self.admission_queue.drain() {
            self.refuse_waiting(ticket, ResultCode::StaleRoute);
        }
    }

    /// Gives free connections to requests that have a slot, and free slots to waiters.
    fn admit(&mut self, now: BootTime) {
        for _ in 0..self.starved.len() {
            if let Some((ticket, request)) = self.starved.pop_front() {
                self.start_request(ticket, request);
            }
        }
        while let Some(turn) = self.admission_queue.next_turn(now) {
            match turn {
                QueueStep::Expire(ticket) => {
                    self.refuse_waiting(ticket, ResultCode::DeadlineTooShort);
                }
                QueueStep::Run(ticket) => match self.waiting.remove(&ticket) {
                    Some(request) => self.start_request(ticket, request),
                    None => self.admission_queue.finish(None),
                },
            }
        }
    }

    fn start_request(&mut self, ticket: u64, request: WaitingRequest) {
        let connection = self.take_idle();
        let token = connection.is_none().then(|| self.open_token()).flatten();
        if connection.is_none() && token.is_none() {
            self.starved.push_back((ticket, request));
            return;
        }
        let switch = Arc::<DeadlineSwitch>::default();
        let active = ActiveRequest {
            started: self.clock.now(),
            deadline: request.deadline,
            switch: switch.clone(),
        };
        self.active.insert(ticket, active);
        let permit = Permit::new(ticket, self.mailbox.clone(), connection, token, switch);
        // If the caller has left, the permit comes back and releases the slot.
        let _ = request.reply.send(Ok(permit));
    }

    fn take_idle(&mut self) -> Option<ServerConnection> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// The right to open a connection, within the server's limit.
    fn open_token(&mut self) -> Option<ConnectionToken> {
        if self.open >= self.connections {
            return None;
        }
        self.open += 1;
        Some(ConnectionToken::new(self.mailbox.clone()))
    }

    /// Ends connections of requests whose deadline passed and frees their slots, even
    /// if the caller does not read its reply and so nothing else notices.
    fn expire(&mut self, now: BootTime) {
        let late = |_: &u64, request: &mut ActiveRequest| now >= request.deadline;
        for (_, request) in self.active.extract_if(late) {
            request.switch.expire();
            self.admission_queue.finish(None);
        }
        if !self.starved.is_empty() {
            self.drop_starved(|_, deadline| now >= deadline);
        }
    }

    fn next_deadline(&self) -> Option<BootTime> {
        let active = self.active.values().map(|request| request.deadline);
        let starved = self.starved.iter().map(|(_, request)| request.deadline);
        active
            .chain(starved)
            .chain(self.admission_queue.next_deadline())
            .min()
    }

    fn refuse_waiting(&mut self, ticket: u64, code: ResultCode) {
        if let Some(request) = self.waiting.remove(&ticket) {
            refuse(request, code);
        }
    }

    fn publish(&self) {
        self.gauge
            .in_flight
            .store(self.admission_queue.running(), Relaxed);
        let queued = u32::try_from(self.admission_queue.waiting()).unwrap_or(u32::MAX);
        self.gauge.queued.store(queued, Relaxed);
    }
}

fn refuse(request: WaitingRequest, code: ResultCode) {
    let _ = request.reply.send(Err(code));
}
