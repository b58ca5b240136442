//! Accepts callers' connections and answers their requests.

mod caller_connection;
mod caller_listener;
mod connection_headers;
mod crash_check;
mod refusal;
mod relay_attempts;
mod relay_listener;
mod request_attempts;
mod request_handler;
mod request_origin;
mod request_pipeline;

pub use {
    caller_listener::CallerListener,
    connection_headers::strip_connection_headers,
    refusal::{Refusal, refusal_response},
    request_handler::RequestHandler,
};
