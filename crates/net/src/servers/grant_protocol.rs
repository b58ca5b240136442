//! Interface for sending grant, renewal and release orders to backend servers.

use {
    super::ServerTime,
    camphorcove_core::control::{ServerFailure, ServerOrder, ServerReply},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// A reply with the time on the server's clock, needed to compute later deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct TimestampedReply {
    /// The server's result and report.
    pub reply: ServerReply,
    /// Time on the server's clock when it replied.
    pub clock: ServerTime,
}

/// Sends orders that grant, renew or release shards on backend servers.
pub trait GrantProtocol: Clone + Send + Sync + 'static {
    /// Sends one order and waits up to `timeout` for the reply.
    ///
    /// The server rejects an order that arrives after `deadline`, a time on its own
    /// clock. Only an order to a server whose clock is not yet known has none.
    fn send(
        &self,
        address: SocketAddr,
        order: &ServerOrder,
        deadline: Option<ServerTime>,
        timeout: Duration,
    ) -> impl Future<Output = Result<TimestampedReply, ServerFailure>> + Send;
}
