//! The backend servers that exist, as the platform's store tells it.

mod fleet_view;
mod lapse_guard;
mod server_entry;

pub use {
    fleet_view::{FleetChange, FleetView, REMOVAL_HOLD},
    lapse_guard::{LapseGuard, RemovalRule},
    server_entry::{ServerEntry, ServerPhase},
};
