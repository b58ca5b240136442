//! The backend servers that exist, as the platform's store tells it.

mod fleet_view;
mod server_entry;

pub use {
    fleet_view::{FleetChange, FleetView, REMOVAL_HOLD},
    server_entry::{ServerEntry, ServerPhase},
};
