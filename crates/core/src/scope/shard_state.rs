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
    /// First owner of the shard.
    Initial,
    /// Owner was lost.
    Lost,
    /// Owner drains or left the configuration.
    Drain,
    /// A server joined.
    Join,
    /// Load was uneven.
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
    /// Nobody owns it.
    #[default]
    Unowned,
    /// One server owns it.
    Owned {
        /// Owner.
        server: ServerId,
        /// Token of its grant.
        token: FencingToken,
    },
    /// A move is under way; `from` may still own it.
    Releasing {
        /// Old owner.
        from: ServerId,
        /// Token of the old grant.
        token: FencingToken,
        /// New owner.
        to: ServerId,
        /// Why it moves.
        reason: MoveReason,
    },
}
