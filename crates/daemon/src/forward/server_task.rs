//! The task that owns one server's slots, queue and idle connections.

use {
    super::{
        Permit, ServerHandle,
        permit::DeadlineAbort,
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

/// A request that holds a slot and a connection.
#[derive(Debug)]
struct ActiveRequest {
    started: BootTime,
    deadline: BootTime,
    /// Closes the request's connection.
    deadline_abort: Arc<DeadlineAbort>,
}

/// A request that waits for a slot or a connection.
#[derive(Debug)]
struct WaitingRequest {
    deadline: BootTime,
    reply: PermitReply,
}

/// Task that admits requests to one server and owns its idle connections.
#[derive(Debug)]
pub struct ServerTask {
    clock: BootClock,
    mailbox: UnboundedSender<ServerMessage>,
    gauge: Arc<ServerGauge>,
    admission_queue: AdmissionQueue,
    /// Most connections that may be open at once.
    connections: u32,
    /// Connections open or being opened.
    open: u32,
    idle: Vec<ServerConnection>,
    /// Requests in flight, by ticket.
    active: HashMap<u64, ActiveRequest>,
    /// Requests in the admission queue, by ticket.
    waiting: HashMap<u64, WaitingRequest>,
    /// Requests that have a slot and wait for a connection, because the server's limit of
    /// connections is reached.
    unconnected: VecDeque<(u64, WaitingRequest)>,
    /// This host is no longer the forwarder: new and queued requests are refused.
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
            unconnected: VecDeque::new(),
            retired: false,
        };
        tokio::spawn(task.run(messages));
        ServerHandle::new(address, mailbox, gauge)
    }

    /// Handles messages and deadlines until the task is retired and its last request has ended.
    async fn run(mut self, mut messages: UnboundedReceiver<ServerMessage>) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        // Deadline for which the timer is set.
        let mut wake_at: Option<BootTime> = None;
        while !self.is_done() {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = &mut timer, if wake_at.is_some() => wake_at = None,
            }
            let now = self.clock.now();
            self.expire(now);
            self.admit_waiting(now);
            self.publish_load();
            let next = self.next_deadline();
            if next.is_some_and(|next| wake_at.is_none_or(|wake_at| next < wake_at)) {
                wake_at = next;
                let wait = wake_at.unwrap_or(now).since(now);
                timer.as_mut().reset(Instant::now() + wait);
            }
        }
    }

    fn is_done(&self) -> bool {
        self.retired && self.active.is_empty()
    }

    fn handle(&mut self, message: ServerMessage) {
        match message {
            ServerMessage::Acquire { waiter, reply } => self.acquire(waiter, reply),
            ServerMessage::Cancel(ticket) => self.cancel(ticket),
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
        match self.admission_queue.admit(waiter, self.clock.now()) {
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

    fn cancel(&mut self, ticket: u64) {
        self.admission_queue.remove_waiter(ticket);
        self.waiting.remove(&ticket);
        self.refuse_unconnected(|unconnected, _| unconnected == ticket);
    }

    /// Refuses the selected requests that have a slot but no connection, and frees their slots.
    fn refuse_unconnected(&mut self, should_refuse: impl Fn(u64, BootTime) -> bool) {
        for (ticket, request) in std::mem::take(&mut self.unconnected) {
            if should_refuse(ticket, request.deadline) {
                self.admission_queue.finish(None);
                refuse(request, ResultCode::DeadlineTooShort);
            } else {
                self.unconnected.push_back((ticket, request));
            }
        }
    }

    fn release(&mut self, ticket: u64, connection: Option<ServerConnection>, completed: bool) {
        let Some(request) = self.active.remove(&ticket) else {
            return;
        };
        let duration = self.clock.now().since(request.started);
        self.admission_queue.finish(completed.then_some(duration));
        let usable = connection.filter(|connection| !connection.is_closed() && !self.retired);
        self.idle.extend(usable);
    }

    fn retire(&mut self) {
        self.retired = true;
        self.idle.clear();
        self.refuse_unconnected(|_, _| true);
        for ticket in self.admission_queue.remove_all_waiters() {
            self.refuse_waiting(ticket, ResultCode::StaleRoute);
        }
    }

    /// Gives free connections to requests that have a slot, and free slots to queued requests.
    fn admit_waiting(&mut self, now: BootTime) {
        for _ in 0..self.unconnected.len() {
            if let Some((ticket, request)) = self.unconnected.pop_front() {
                self.start_request(ticket, request);
            }
        }
        while let Some(step) = self.admission_queue.next_step(now) {
            match step {
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

    /// Grants a permit to a request that has a slot, or lets it wait for a connection.
    fn start_request(&mut self, ticket: u64, request: WaitingRequest) {
        let connection = self.take_idle_connection();
        let token = connection
            .is_none()
            .then(|| self.reserve_connection())
            .flatten();
        if connection.is_none() && token.is_none() {
            self.unconnected.push_back((ticket, request));
            return;
        }
        let deadline_abort = Arc::<DeadlineAbort>::default();
        let active = ActiveRequest {
            started: self.clock.now(),
            deadline: request.deadline,
            deadline_abort: deadline_abort.clone(),
        };
        self.active.insert(ticket, active);
        let permit = Permit::new(
            ticket,
            self.mailbox.clone(),
            connection,
            token,
            deadline_abort,
        );
        // If the request was dropped, `send` returns the permit, and dropping it frees the slot.
        let _ = request.reply.send(Ok(permit));
    }

    fn take_idle_connection(&mut self) -> Option<ServerConnection> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Reserves a connection; `None` if the server's limit is reached.
    fn reserve_connection(&mut self) -> Option<ConnectionToken> {
        if self.open >= self.connections {
            return None;
        }
        self.open += 1;
        Some(ConnectionToken::new(self.mailbox.clone()))
    }

    /// Closes the connections of requests whose deadline has passed and frees their slots.
    ///
    /// Nothing else does so for a request whose caller does not read its reply.
    fn expire(&mut self, now: BootTime) {
        let past_deadline = |_: &u64, request: &mut ActiveRequest| now >= request.deadline;
        for (_, request) in self.active.extract_if(past_deadline) {
            request.deadline_abort.expire();
            self.admission_queue.finish(None);
        }
        if !self.unconnected.is_empty() {
            self.refuse_unconnected(|_, deadline| now >= deadline);
        }
    }

    fn next_deadline(&self) -> Option<BootTime> {
        let active = self.active.values().map(|request| request.deadline);
        let unconnected = self.unconnected.iter().map(|(_, request)| request.deadline);
        active
            .chain(unconnected)
            .chain(self.admission_queue.next_deadline())
            .min()
    }

    fn refuse_waiting(&mut self, ticket: u64, code: ResultCode) {
        if let Some(request) = self.waiting.remove(&ticket) {
            refuse(request, code);
        }
    }

    /// Stores the current load where handles read it.
    fn publish_load(&self) {
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
