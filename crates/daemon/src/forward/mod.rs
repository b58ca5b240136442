//! Forwarding of requests to backend servers, directly or through another host.
//!
//! A request involves up to three roles, which may fall to the same host:
//!
//! - The *entry host* accepts the request from the caller and routes it.
//! - The *forwarder* of a server is the one host that sends requests to it. An entry
//!   host that is not the forwarder passes the request on to it (a *hop*).
//! - The *home host* of an idempotency key remembers the key and rejects repeats.
//!
//! On its forwarder each server has one [`ServerTask`], which owns the server's slots
//! (the limit of concurrent requests), queue and idle connections. A request asks that
//! task for a [`Permit`], talks to the server itself and returns the permit, so requests
//! to different servers never wait for each other.

mod body_fault;
mod caller_body;
mod dedup_windows;
mod forward_plan;
mod forward_service;
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
        ENVELOPE, FORWARD_PATH, HOP_HOST, HOP_LENGTH, HOP_LOAD, HOP_METHOD, HOP_PATH, single_value,
        strip_framing, strip_headers,
    },
    load_table::{LoadTable, ServiceLoads},
    peer_hop::set_result_headers,
    peer_links::PeerLinks,
    permit::Permit,
    request_body::RequestBody,
    request_head::RequestHead,
    route_check::wait_for_change,
    router_body::{InFlightGuard, LoadGuard, RouterBody},
    server_handle::ServerHandle,
    server_task::ServerTask,
};
