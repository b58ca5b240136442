//! The state machine of one scope on one host.
//!
//! A host runs one machine per scope. The machine is idle, a candidate or the
//! controller. It owns the controller's view of grants, moves and membership.
//! The daemon feeds it [`ScopeEvent`]s and carries out its [`ScopeAction`]s.

mod authority_table;
mod candidacy;
mod controller_term;
mod forwarder_table;
mod host_table;
mod map_builder;
mod map_publisher;
mod object_events;
mod object_writer;
mod order_answers;
mod ownership_plan;
mod plan_view;
mod scope_accessors;
mod scope_action;
mod scope_event;
mod scope_machine;
mod scope_status;
mod server_order;
mod server_orders;
mod server_track;
mod server_view;
mod shard_change;
mod tenure;

pub use {
    scope_action::{ScopeAction, WriteId},
    scope_event::{HostInfo, ReadFailure, ScopeEvent, ScopeSpec, WriteFailure},
    scope_machine::ScopeMachine,
    scope_status::{ScopeCounters, ScopeRole},
    server_order::{
        OrderId, ServerFailure, ServerOrder, ServerReply, ServerReport, ServerResult, ShardGrant,
    },
};
