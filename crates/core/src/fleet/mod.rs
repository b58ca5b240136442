//! Backend servers registered in the platform's store.

mod evacuation_list;
mod evacuation_table;
mod fleet_view;
mod outage_guard;
mod server_entry;

pub use {
    evacuation_list::EvacuationList,
    evacuation_table::{
        EvacuationChange, EvacuationSource, EvacuationTable, LOST_WRITE_GRACE_PERIOD,
    },
    fleet_view::{FleetChange, FleetView, REMOVAL_GRACE_PERIOD},
    outage_guard::{OutageGuard, RemovalRule},
    server_entry::{ServerEntry, ServerPhase},
};
