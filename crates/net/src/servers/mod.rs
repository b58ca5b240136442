//! Adapter to backend servers' grant interface.
//!
//! [`GrantProtocol`] is the edge: another grant interface needs another
//! implementation and nothing else. [`HttpGrants`] is the implementation over
//! HTTP.

mod grant_protocol;
mod http_grants;
mod server_clock;

pub use {
    grant_protocol::{GrantProtocol, TimestampedReply},
    http_grants::{HttpGrants, ORDER_PATH},
    server_clock::{ClockTable, ServerClock, ServerTime},
};
