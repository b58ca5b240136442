//! Stand-in for a backend server.

mod backend_settings;
mod backend_standin;
mod backend_state;
mod control_routes;
mod grant_book;
mod order_route;
mod report_history;
mod request_route;
mod run_guard;
mod run_ledger;

pub use {
    backend_settings::BackendSettings,
    backend_standin::{BackendOptions, BackendStandin},
    backend_state::BackendStats,
    grant_book::GrantInterval,
    run_ledger::RunEntry,
};
