//! Forwards requests to backend servers over pooled connections.

mod connection_pool;
mod refusal_history;
mod response_body;
mod server_call;

pub use {
    connection_pool::{ConnectionPool, PoolError},
    response_body::{BodyError, ResponseBody},
    server_call::{AttemptTimeout, CallOutcome, CallRequest, CallTarget, send_call},
};
