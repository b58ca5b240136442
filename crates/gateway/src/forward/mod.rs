//! Sends requests to servers.

mod answer_body;
mod server_call;
mod server_pool;

pub use {
    answer_body::AnswerBody,
    server_call::{AttemptTimeout, CallOutcome, CallRequest, send_call},
    server_pool::{PoolError, ServerPool},
};
