//! The operator API: an HTTP listener of its own for signed requests of operators.

mod admin_call;
mod admin_server;
mod admin_service;
mod audit_routes;
mod change_routes;
mod control_routes;
mod explain_route;
mod operator_view;
mod owner_routes;
mod refusal_log;
mod repo_failure;
mod status_routes;

pub use {
    admin_call::AdminCall,
    admin_server::serve_admin,
    admin_service::{AdminContext, AdminService},
    operator_view::OperatorView,
};
