//! Ownership of one shard.

use crate::ids::{FencingToken, ServerId};

/// Why a shard changes owner.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The shard had no owner before.
    Initial,
    /// The owner did not answer until its grant expired.
    Lost,
    /// The owner drains or has left the configuration.
    Drain,
    /// A server that joined gets its share of the shards.
    Join,
    /// The load of the servers was uneven.
    Balance,
    /// An operator pinned a key of the shard.
    Pin,
}

/// Ownership of one shard.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ShardState {
    /// No server owns the shard.
    #[default]
    Unowned,
    /// One server owns the shard.
    Owned {
        /// Server that may process requests for the shard.
        server: ServerId,
        /// Fencing token of its grant.
        token: FencingToken,
    },
    /// A move is in progress; `from` may still act as the owner.
    Releasing {
        /// Server that must give the shard up.
        from: ServerId,
        /// Fencing token of the grant that `from` holds.
        token: FencingToken,
        /// Server that is to become the owner.
        to: ServerId,
        /// Why the shard moves.
        reason: MoveReason,
    },
}
