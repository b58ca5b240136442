//! Which server should own which shard.
//!
//! Placement is weighted by server speed and changes as few owners as it can.

mod load_table;
mod placement_input;
mod placement_plan;
mod rebalance;

pub(crate) use placement_plan::{filled, underfilled};
pub use {
    load_table::LoadTable,
    placement_input::{PlacementInput, PlacementServer, ShardPlacement},
    placement_plan::{PlannedMove, assign_unowned, plan_moves},
};
