//! Placement: decides which server should own which shard.
//!
//! Each server gets shards in proportion to its weight, and plans change as few owners as possible.

mod load_table;
mod placement_input;
mod placement_plan;
mod rebalance;

pub(crate) use placement_plan::{servers_at_quota, servers_below_quota};
pub use {
    load_table::LoadTable,
    placement_input::{PlacementInput, PlacementServer, ShardPlacement},
    placement_plan::{PlannedMove, assign_unowned, plan_moves},
};
