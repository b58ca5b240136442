//! Sending orders to backend servers.

use {
    super::ServerTime,
    camphorcove_core::control::{ServerFailure, ServerOrder, ServerReply},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// A reply with the server's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct TimestampedReply {
    /// Reply.
    pub reply: ServerReply,
    /// Server's clock when it replied.
    pub clock: ServerTime,
}

/// The grant interface of backend servers.
pub trait GrantProtocol: Clone + Send + Sync + 'static {
    /// Sends one order; without a deadline only if the server's clock is not yet known.
    fn send(
        &self,
        address: SocketAddr,
        order: &ServerOrder,
        deadline: Option<ServerTime>,
        timeout: Duration,
    ) -> impl Future<Output = Result<TimestampedReply, ServerFailure>> + Send;
}
