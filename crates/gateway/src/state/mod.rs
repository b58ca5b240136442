//! What this host knows, shared by its tasks.

mod body_budget;
mod host_state;
mod log_gate;
mod server_pick;
mod store_marks;

pub use {
    body_budget::{BodyBudget, BodyLease},
    host_state::{HostCounters, HostState, LoadReport, ServerLoad, ServerTag},
    log_gate::{LogGate, LogTopic},
    server_pick::{PickQuery, PickRefusal, ServerPermit, ServerPick},
    store_marks::{StoreKind, StoreMarks},
};
