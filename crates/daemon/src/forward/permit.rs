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

/// Ends a request's connection when its deadline passes.
#[derive(Debug, Default)]
pub struct DeadlineSwitch {
    connection: OnceLock<AbortHandle>,
    expired: AtomicBool,
}

impl DeadlineSwitch {
    /// Names the connection to end; ends it at once if the deadline has passed.
    pub fn attach(&self, connection: AbortHandle) {
        let connection = self.connection.get_or_init(|| connection);
        if self.expired.load(Relaxed) {
            connection.abort();
        }
    }

    /// Ends the connection.
    pub fn expire(&self) {
        self.expired.store(true, Relaxed);
        if let Some(connection) = self.connection.get() {
            connection.abort();
        }
    }
}

/// A slot at a server, with an idle connection or the right to open one.
///
/// Dropping it before [`complete`](Self::complete) closes the connection, which
/// cancels the server's work, and frees the slot.
#[derive(Debug)]
pub struct Permit {
    ticket: u64,
    mailbox: UnboundedSender<ServerMessage>,
    connection: Option<ServerConnection>,
    token: Option<ConnectionToken>,
    switch: Arc<DeadlineSwitch>,
    completed: bool,
}

impl Permit {
    pub(super) fn new(
        ticket: u64,
        mailbox: UnboundedSender<ServerMessage>,
        connection: Option<ServerConnection>,
        token: Option<ConnectionToken>,
        switch: Arc<DeadlineSwitch>,
    ) -> Self {
        Self {
            ticket,
            mailbox,
            connection,
            token,
            switch,
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

    /// Binds the connection that carries the request.
    pub(super) fn bind(&mut self, connection: ServerConnection) {
        self.switch.attach(connection.abort_handle());
        self.connection = Some(connection);
    }

    /// The bound connection.
    pub(super) fn connection(&mut self) -> Option<&mut ServerConnection> {
        self.connection.as_mut()
    }

    /// Returns the slot and the connection after a complete exchange.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let connection = self.connection.take();
        let kept = match connection {
            Some(connection) if self.completed => Some(connection),
            Some(connection) => {
                connection.abort_handle().abort();
                None
            }
            None => None,
        };
        let message = ServerMessage::Release {
            ticket: self.ticket,
            connection: kept,
            completed: self.completed,
        };
        // The task outlives its permits; if the runtime is ending, nothing is owed.
        let _ = self.mailbox.send(message);
    }
}
