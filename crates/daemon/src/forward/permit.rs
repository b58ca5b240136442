//! Permission to send one request to a server.

use {
    super::{
        server_connection::{ConnectionToken, ServerConnection},
        server_handle::ServerMessage,
    },
    std::sync::OnceLock,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    tokio::{sync::mpsc::UnboundedSender, task::AbortHandle},
};

/// Closes a request's connection when its deadline passes.
///
/// The server's task and the permit share it, because the connection is opened after the task
/// granted the permit.
#[derive(Debug, Default)]
pub struct DeadlineAbort {
    connection: OnceLock<AbortHandle>,
    expired: AtomicBool,
}

impl DeadlineAbort {
    /// Sets the connection to close, and closes it at once if the deadline has already passed.
    pub fn attach(&self, connection: AbortHandle) {
        let connection = self.connection.get_or_init(|| connection);
        if self.expired.load(Relaxed) {
            connection.abort();
        }
    }

    /// Closes the connection, now or as soon as it is attached.
    pub fn expire(&self) {
        self.expired.store(true, Relaxed);
        if let Some(connection) = self.connection.get() {
            connection.abort();
        }
    }
}

/// Permission to send one request to a server: a slot, with an idle connection or the right to
/// open one.
///
/// Dropping it without [`complete`](Self::complete) frees the slot and closes the connection,
/// which cancels the server's work.
#[derive(Debug)]
pub struct Permit {
    ticket: u64,
    mailbox: UnboundedSender<ServerMessage>,
    connection: Option<ServerConnection>,
    token: Option<ConnectionToken>,
    deadline_abort: Arc<DeadlineAbort>,
    completed: bool,
}

impl Permit {
    pub(super) fn new(
        ticket: u64,
        mailbox: UnboundedSender<ServerMessage>,
        connection: Option<ServerConnection>,
        token: Option<ConnectionToken>,
        deadline_abort: Arc<DeadlineAbort>,
    ) -> Self {
        Self {
            ticket,
            mailbox,
            connection,
            token,
            deadline_abort,
            completed: false,
        }
    }

    /// Takes the idle connection, if one came with the permit.
    pub(super) fn take_connection(&mut self) -> Option<ServerConnection> {
        self.connection.take()
    }

    /// Takes the right to open a connection.
    pub(super) fn take_token(&mut self) -> Option<ConnectionToken> {
        self.token.take()
    }

    /// Sets the connection that carries the request.
    pub(super) fn bind(&mut self, connection: ServerConnection) {
        self.deadline_abort.attach(connection.abort_handle());
        self.connection = Some(connection);
    }

    /// Connection set by [`bind`](Self::bind).
    pub(super) fn connection(&mut self) -> Option<&mut ServerConnection> {
        self.connection.as_mut()
    }

    /// Frees the slot and returns the connection for other requests, after a complete exchange.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let connection = self.connection.take();
        let reusable = match connection {
            Some(connection) if self.completed => Some(connection),
            Some(connection) => {
                connection.abort_handle().abort();
                None
            }
            None => None,
        };
        let message = ServerMessage::Release {
            ticket: self.ticket,
            connection: reusable,
            completed: self.completed,
        };
        // The task outlives its permits, so this fails only while the runtime shuts down.
        let _ = self.mailbox.send(message);
    }
}
