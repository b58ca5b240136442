//! Orders to backend servers, and the servers' replies.

use {
    crate::ids::{Epoch, FencingToken, ServiceName, ShardId},
    std::time::Duration,
};

value_type!(
    /// Identifies an order; unique within a machine.
    OrderId(u64)
);

/// Permission for a server to process requests for one shard.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct ShardGrant {
    /// Shard that the permission is for.
    pub shard: ShardId,
    /// Fencing token; a server that checks tokens rejects any lower one for this shard.
    pub token: FencingToken,
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum ServerOrder {
    /// Replaces the server's complete set of shards and starts a grant of it.
    Grant {
        /// Service that the shards belong to.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Number of this set, by which renewals refer to it.
        set: u64,
        /// All shards of the set.
        shards: Vec<ShardGrant>,
        /// Duration of the grant, counted from receipt of the order.
        ttl: Duration,
    },
    /// Extends the grant of a set that the server already holds.
    Renew {
        /// Service that the shards belong to.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Number of the granted set; 0 is never granted and serves as a probe.
        set: u64,
        /// Duration of the grant, counted from receipt of the order.
        ttl: Duration,
    },
    /// Takes shards away: the server finishes or rejects their requests, then confirms.
    Release {
        /// Service that the shards belong to.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Shards to give up, with the tokens of their grants.
        shards: Vec<ShardGrant>,
    },
}

/// Status that a server reports about itself; safety does not depend on it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerReport {
    /// The server is draining.
    pub draining: bool,
    /// Number of requests that the server is processing.
    pub in_flight: u32,
    /// Identifies the server's process; changes with a restart.
    pub process: u64,
}

/// How a server handled an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerResult {
    /// The server carried the order out.
    Done,
    /// The server does not hold the set of a renewal and needs a complete grant.
    UnknownSet,
    /// The server has seen a higher term or token.
    Fenced,
    /// The order arrived after its deadline.
    Expired,
}

/// Reply of a server to an order.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerReply {
    /// How the server handled the order.
    pub result: ServerResult,
    /// Highest term the server has seen.
    pub epoch: Epoch,
    /// Status of the server.
    pub report: ServerReport,
}

/// Why there is no reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// The order was not sent, for example because the connection was refused.
    NotSent,
    /// The order was sent, but no complete reply arrived in time.
    NoReply,
}
