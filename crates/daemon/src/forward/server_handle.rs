//! Access to the task of one server.

use {
    super::{Permit, server_connection::ServerConnection},
    camphorcove_core::{
        admission::{AdmissionLimits, QueuedRequest},
        balance::LoadReport,
        conf::RequestClass,
        outcome::ResultCode,
        time::BootTime,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
        },
    },
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// Limits of one server, as its routing map and file state them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Slots and queue.
    pub admission_limits: AdmissionLimits,
    /// Connections.
    pub connections: u32,
}

pub(super) type PermitReply = oneshot::Sender<Result<Permit, ResultCode>>;

/// What a server's task is told.
#[derive(Debug)]
pub enum ServerMessage {
    /// A request asks for a slot.
    Acquire {
        /// The request.
        waiter: QueuedRequest,
        /// Where the permit goes.
        reply: PermitReply,
    },
    /// A request that waits, or has just got a slot, was given up.
    Leave(u64),
    /// A slot is free again.
    Release {
        /// Whose slot.
        ticket: u64,
        /// Connection to use again.
        connection: Option<ServerConnection>,
        /// The exchange was complete, so its duration is a sample.
        completed: bool,
    },
    /// A connection ended.
    Closed,
    /// The limits changed.
    Update(ServerLimits),
    /// Another host is the forwarder now: refuse waiters, finish the rest.
    Retire,
}

/// Load of a server, readable without asking its task.
#[derive(Debug, Default)]
pub(super) struct ServerGauge {
    pub(super) in_flight: AtomicU32,
    pub(super) queued: AtomicU32,
}

/// Access to a server's task.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    mailbox: UnboundedSender<ServerMessage>,
    gauge: Arc<ServerGauge>,
    tickets: Arc<AtomicU64>,
}

impl ServerHandle {
    pub(super) fn new(
        address: SocketAddr,
        mailbox: UnboundedSender<ServerMessage>,
        gauge: Arc<ServerGauge>,
    ) -> Self {
        Self {
            address,
            mailbox,
            gauge,
            tickets: Arc::default(),
        }
    }

    /// Address that the task's connections go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.gauge.in_flight.load(Relaxed),
            queued: self.gauge.queued.load(Relaxed),
        }
    }

    /// Tells the task about new limits.
    pub fn update(&self, limits: ServerLimits) {
        let _ = self.mailbox.send(ServerMessage::Update(limits));
    }

    /// Ends the task once its requests in flight are done.
    pub fn retire(&self) {
        let _ = self.mailbox.send(ServerMessage::Retire);
    }

    /// Waits for a slot. Dropping the future gives the place up.
    pub async fn acquire(
        &self,
        class: RequestClass,
        deadline: BootTime,
    ) -> Result<Permit, ResultCode> {
        let ticket = self.tickets.fetch_add(1, Relaxed);
        let waiter = QueuedRequest {
            ticket,
            class,
            deadline,
        };
        let (reply, permit) = oneshot::channel();
        let message = ServerMessage::Acquire { waiter, reply };
        if self.mailbox.send(message).is_err() {
            return Err(ResultCode::StaleRoute);
        }
        let mut place = QueuePlace {
            ticket,
            mailbox: Some(&self.mailbox),
        };
        let result = permit.await.unwrap_or(Err(ResultCode::StaleRoute));
        place.mailbox = None;
        result
    }
}

/// Gives a place in the queue up when dropped.
struct QueuePlace<'a> {
    ticket: u64,
    mailbox: Option<&'a UnboundedSender<ServerMessage>>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(mailbox) = self.mailbox {
            let _ = mailbox.send(ServerMessage::Leave(self.ticket));
        }
    }
}
