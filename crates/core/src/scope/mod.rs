//! The scope object: what the platform stores for one service's ownership.

mod scope_state;
mod shard_state;

pub use {
    scope_state::ScopeState,
    shard_state::{MoveReason, ShardState},
};
