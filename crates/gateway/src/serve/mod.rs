//! Takes requests of callers and answers them.

mod caller_listener;
mod http_rules;
mod refusal;
mod request_flow;

pub use {
    caller_listener::CallerListener,
    http_rules::strip_connection_headers,
    refusal::{Refusal, refuse},
    request_flow::RequestFlow,
};
