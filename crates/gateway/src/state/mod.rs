//! What this host knows, shared by its tasks.

mod body_budget;
mod change_log;
mod fleet_news;
mod fleet_update;
mod host_state;
mod log_gate;
mod server_pick;
mod store_feed;
mod store_marks;

pub use {
    body_budget::{BodyBudget, BodyLease},
    change_log::{ChangeLog, Revised},
    fleet_update::FleetUpdate,
    host_state::{HostCounters, HostState, LoadReport, ServerLoad, ServerTag},
    log_gate::{LogGate, LogTopic},
    server_pick::{PickQuery, PickRefusal, ServerPermit, ServerPick},
    store_feed::StoreFeed,
    store_marks::{RevisionSpan, StoreKind, StoreMarks},
};
