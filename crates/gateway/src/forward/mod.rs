//! Forwards requests to backend servers over pooled connections.

mod connection_pool;
mod reach_check;
mod refusal_history;
mod relay_client;
mod response_body;
mod server_call;

pub use {
    connection_pool::{ConnectionPool, PoolError},
    reach_check::{any_accepts, check_reach},
    relay_client::{RelayClient, RelayOutcome},
    response_body::{BodyError, ResponseBody},
    server_call::{AttemptTimeout, CallOutcome, CallRequest, CallTarget, send_call},
};
