//! The scope object: the record on the platform that holds the shard ownership of one service.

mod scope_state;
mod shard_state;

pub use {
    scope_state::ScopeState,
    shard_state::{MoveReason, ShardState},
};
