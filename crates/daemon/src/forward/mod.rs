//! Forwarding: slots, queues and connections of servers, and hops between hosts.
//!
//! Each server has one forwarder, and on it one [`ServerTask`] that owns the
//! server's slots, queue and idle connections. A request asks that task for a
//! [`Permit`], talks to the server itself and returns the permit, so requests
//! of different servers never wait for each other.

mod body_fault;
mod caller_body;
mod forward_plan;
mod forward_service;
mod home_windows;
mod hop_headers;
mod load_table;
mod peer_hop;
mod peer_links;
mod permit;
mod request_body;
mod request_head;
mod route_check;
mod router_body;
mod server_connection;
mod server_exchange;
mod server_handle;
mod server_table;
mod server_task;

pub use {
    body_fault::BodyFault,
    caller_body::{CallerBody, LeasedBody},
    forward_plan::ForwardPlan,
    forward_service::ForwardService,
    hop_headers::{
        ENVELOPE, FORWARD_PATH, HOP_HOST, HOP_LENGTH, HOP_LOAD, HOP_METHOD, HOP_PATH, single,
        strip_framing, strip_headers,
    },
    load_table::{LoadTable, ServiceLoads},
    peer_hop::mark_result,
    peer_links::PeerLinks,
    permit::Permit,
    request_body::RequestBody,
    request_head::RequestHead,
    route_check::wait_for_change,
    router_body::{FlightGuard, LoadGuard, RouterBody},
    server_handle::ServerHandle,
    server_task::ServerTask,
};
