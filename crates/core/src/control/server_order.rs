//! Orders to backend servers, and their replies.

use {
    crate::ids::{Epoch, FencingToken, ServiceName, ShardId},
    std::time::Duration,
};

value_type!(
    /// Number of an order, unique in a machine's life.
    OrderId(u64)
);

/// Permission for one shard.
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
    /// Shard.
    pub shard: ShardId,
    /// Token; a checking server refuses any lower one for this shard.
    pub token: FencingToken,
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum ServerOrder {
    /// Replaces the server's whole set of shards and starts its grant.
    Grant {
        /// Service.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Number of this set within the term.
        set: u64,
        /// The whole set.
        shards: Vec<ShardGrant>,
        /// Length of the grant from receipt.
        ttl: Duration,
    },
    /// Prolongs the grant of a set the server already holds.
    Renew {
        /// Service.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Number of the set within the term.
        set: u64,
        /// Length of the grant from receipt.
        ttl: Duration,
    },
    /// Gives shards up: the server finishes or rejects their work, then confirms.
    Release {
        /// Service.
        service: ServiceName,
        /// Term of the controller.
        epoch: Epoch,
        /// Shards with the tokens they were granted under.
        shards: Vec<ShardGrant>,
    },
}

/// What a server says of itself; a hint only.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerReport {
    /// It is draining.
    pub draining: bool,
    /// Requests it says it runs.
    pub in_flight: u32,
    /// Identifies its process; changes with a restart.
    pub process: u64,
}

/// A server's verdict on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerResult {
    /// Done.
    Done,
    /// The set named by a renewal is not held; send the whole grant.
    UnknownSet,
    /// It has seen a higher term or token.
    Fenced,
    /// The order arrived past its deadline.
    Expired,
}

/// Reply of a server.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerReply {
    /// Verdict.
    pub result: ServerResult,
    /// Highest term the server has seen.
    pub epoch: Epoch,
    /// What it says of itself.
    pub report: ServerReport,
}

/// Why no reply came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// Nothing was sent, for example the connection was refused.
    NotSent,
    /// Sent, but no whole reply came in time.
    NoReply,
}
