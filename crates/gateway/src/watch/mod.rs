//! Keeps this host's state in step with the platform's store.

mod config_follower;
mod evacuation_follower;
mod fleet_follower;
mod kind_follower;
mod odd_entries;
mod odd_parts;
mod owner_reader;

pub use kind_follower::{CatchUp, KindChange, KindFollower, follow};
pub use {
    config_follower::{ConfigFollower, apply_config_copy},
    evacuation_follower::EvacuationFollower,
    fleet_follower::FleetFollower,
    odd_entries::OddEntries,
    odd_parts::OddParts,
    owner_reader::read_owners,
};
