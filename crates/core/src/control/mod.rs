//! The state machine of one scope on one host.
//!
//! A host runs one machine per scope. The machine is idle, a candidate or the
//! controller. It owns the controller's view of grants, moves and membership.
//! The daemon feeds it [`ScopeEvent`]s and carries out its [`ScopeAction`]s.
//!
//! The machine relies on the daemon for the following:
//!
//! - Each read, write, order and promise request is answered by exactly one
//!   event, with a failure if no answer came in time. A write is reported as
//!   `NotSent` only if it can never take effect.
//! - `sent_at` is read before the message leaves, and the deadline of an order
//!   is converted to the server's clock with the latest reading of that server.
//!   Only an order without a grant (set 0, length 0) may go out before the
//!   server's clock is known.
//! - Reads of the scope object also go to the host's `ElectorTable`. An elector
//!   that is asked about a scope it has not read triggers such a read.
//! - Published maps are passed on with the validity that is left, never more.
//! - Addresses of servers that left the configuration stay known until no shard
//!   is theirs.

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
