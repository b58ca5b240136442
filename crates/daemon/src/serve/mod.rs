//! Listener for callers, and the entry host's part of a request: checks, routing and attempts.

mod caller_requests;
mod entry_handler;
mod entry_request;
mod entry_server;
mod key_extract;
mod refusal;
mod service_index;

pub use {
    caller_requests::CallerRequests,
    entry_handler::EntryHandler,
    entry_server::EntryServer,
    key_extract::{extract_key, has_dot_segment},
    service_index::{ServiceIndex, ServiceRule},
};
