//! HTTP/1.1: protection of callers' connections, and a client with a connection pool.
//!
//! Unlike general-purpose clients, the client never retries, and its errors tell a
//! request that was never sent from one whose outcome is unknown.

mod body_framing;
mod caller_stream;
mod framing_guard;
mod http_client;
pub mod percent;
mod server_stream;

pub use {
    body_framing::{ends_with_connection, has_other_coding},
    caller_stream::{CallerStream, ReadAhead, ReceivedHeads},
    framing_guard::{FramingGuard, PipelinedHead},
    http_client::{ConnectionUse, ExchangeError, HttpClient, OpenConnection, ServerReply},
    server_stream::{HeadLimit, ServerStream},
};
