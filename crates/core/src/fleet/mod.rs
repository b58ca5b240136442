//! Backend servers registered in the platform's store.

mod evacuation_list;
mod fleet_view;
mod outage_guard;
mod server_entry;

pub use {
    evacuation_list::EvacuationList,
    fleet_view::{FleetChange, FleetView, REMOVAL_GRACE_PERIOD},
    outage_guard::{OutageGuard, RemovalRule},
    server_entry::{ServerEntry, ServerPhase},
};
