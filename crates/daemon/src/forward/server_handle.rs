//! Handle through which requests reach the task of one server.

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

/// Limits of one server: slots and connections from the routing map, the queue from the
/// service's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Most concurrent requests, and limits of the queue.
    pub admission_limits: AdmissionLimits,
    /// Most connections open at once.
    pub connections: u32,
}

/// Channel on which the task answers a request for a slot.
pub(super) type PermitReply = oneshot::Sender<Result<Permit, ResultCode>>;

/// Messages to a server's task.
#[derive(Debug)]
pub enum ServerMessage {
    /// A request asks for a slot.
    Acquire {
        /// The request.
        waiter: QueuedRequest,
        /// Receives the permit or the reason of a refusal.
        reply: PermitReply,
    },
    /// The request with this ticket was dropped while it waited for its permit.
    Cancel(u64),
    /// A request no longer needs its slot.
    Release {
        /// Ticket of the request.
        ticket: u64,
        /// Connection that another request may use.
        connection: Option<ServerConnection>,
        /// Whether the exchange was complete, so that its duration counts as a sample.
        completed: bool,
    },
    /// A connection closed.
    Closed,
    /// The limits changed.
    Update(ServerLimits),
    /// This host is no longer the forwarder: refuse queued requests, finish those in flight.
    Retire,
}

/// Load of a server, published by its task and read without a message to it.
#[derive(Debug, Default)]
pub(super) struct ServerGauge {
    pub(super) in_flight: AtomicU32,
    pub(super) queued: AtomicU32,
}

/// Handle to a server's task.
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

    /// Address to which the task's requests connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Load as the task last published it.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.gauge.in_flight.load(Relaxed),
            queued: self.gauge.queued.load(Relaxed),
        }
    }

    /// Sends new limits to the task.
    pub fn update(&self, limits: ServerLimits) {
        let _ = self.mailbox.send(ServerMessage::Update(limits));
    }

    /// Refuses queued requests and ends the task once its requests in flight are done.
    pub fn retire(&self) {
        let _ = self.mailbox.send(ServerMessage::Retire);
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
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
        let mut guard = AcquireGuard {
            ticket,
            mailbox: Some(&self.mailbox),
        };
        let result = permit.await.unwrap_or(Err(ResultCode::StaleRoute));
        guard.mailbox = None;
        result
    }
}

/// Cancels the request at the task when dropped before the permit arrived.
struct AcquireGuard<'a> {
    ticket: u64,
    mailbox: Option<&'a UnboundedSender<ServerMessage>>,
}

impl Drop for AcquireGuard<'_> {
    fn drop(&mut self) {
        if let Some(mailbox) = self.mailbox {
            let _ = mailbox.send(ServerMessage::Cancel(self.ticket));
        }
    }
}
