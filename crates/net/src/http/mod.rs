//! HTTP/1.1: callers' sockets, and a client with kept connections and exact knowledge of what was sent.
//!
//! Unlike general-purpose clients it never retries and tells a request that
//! never left this host apart from one whose fate is unknown.

mod caller_stream;
mod framing_guard;
mod http_client;

pub use {
    caller_stream::CallerStream,
    framing_guard::FramingGuard,
    http_client::{ExchangeError, HttpClient},
};
