//! The state machine of one scope on one host.
//!
//! A host runs one machine per scope. The machine is idle, a candidate or the
//! controller. It owns the controller's view of grants, moves and membership.
//! The daemon feeds it [`ScopeEvent`]s and carries out its [`ScopeAction`]s.

mod scope_action;
mod scope_event;
mod server_order;

pub use {
    scope_action::{ScopeAction, WriteId},
    scope_event::{HostInfo, ReadFailure, ScopeEvent, ScopeSpec, WriteFailure},
    server_order::{
        OrderId, ServerFailure, ServerOrder, ServerReply, ServerReport, ServerResult, ShardGrant,
    },
};
