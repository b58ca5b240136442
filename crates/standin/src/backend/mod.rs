//! Stand-in for a backend server.

mod backend_settings;
mod backend_standin;
mod backend_state;
mod control_routes;
mod grant_table;
mod load_history;
mod order_route;
mod request_route;
mod run_guard;
mod run_ledger;

pub use {
    backend_settings::BackendSettings,
    backend_standin::{BackendOptions, BackendStandin},
    backend_state::BackendStats,
    grant_table::GrantInterval,
    run_ledger::RequestRecord,
};
