//! The state machine that controls the shards of one service (a scope).
//!
//! A host runs one machine per scope. The machine is idle, a candidate or the
//! controller. It does no I/O: the daemon passes [`ScopeEvent`]s to it and
//! executes the [`ScopeAction`]s that it returns.
//!
//! # Terms
//!
//! - Scope object: record on the platform with the controller, the electors and
//!   the owner of each shard. All writes are conditional on its version.
//! - Term: numbered period of one controller, called epoch in the code. A
//!   takeover is the write of the scope object that starts the next term.
//! - Promise: time-limited vote of an elector for a controller.
//! - Authority: the right to issue grants and maps. It lasts while a majority of
//!   the electors has promised.
//! - Grant: time-limited permission for a server to process its shards.
//!   Each shard is granted with a fencing token; a checked service has servers
//!   that reject requests with an older token.
//! - Set: the complete list of shards granted to one server, numbered so that a
//!   renewal can refer to it.
//! - Order: a grant, renewal or release sent to a server.
//! - Map: the routing table that hosts forward requests by, valid for a limited
//!   time.
//! - Adoption: if a successor gets no majority, it renews the grants of servers
//!   that check tokens. Its platform contact then stands in for the promises.
//!
//! # Requirements on the daemon
//!
//! - Each read, write, order and promise request is answered by exactly one
//!   event, with a failure if no answer came in time. A write is reported as
//!   `NotSent` only if it can never take effect.
//! - `sent_at` is read before the message leaves, and the deadline of an order
//!   is converted to the server's clock with the latest reading of that server.
//!   Only an order without a grant (set 0, length 0) may be sent before the
//!   server's clock is known.
//! - Reads of the scope object are also given to the host's `ElectorTable`. A
//!   promise request for a scope that the elector has not read triggers such a
//!   read.
//! - Maps are passed on with at most their remaining validity.
//! - Addresses of servers that left the configuration stay known until these
//!   servers own no shard.

mod active_term;
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
mod server_view;
mod shard_change;
mod tracked_server;

pub use {
    scope_action::{ScopeAction, WriteId},
    scope_event::{HostInfo, ReadFailure, ScopeEvent, ScopeSpec, WriteFailure},
    scope_machine::ScopeMachine,
    scope_status::{ScopeCounters, ScopeRole},
    server_order::{
        OrderId, ServerFailure, ServerOrder, ServerReply, ServerReport, ServerResult, ShardGrant,
    },
};
