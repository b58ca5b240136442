//! Adapter to the interface through which backend servers are granted shards.
//!
//! [`GrantProtocol`] is the interface that the rest of the router uses; supporting
//! other servers takes another implementation of it and no other change.
//! [`HttpGrants`] implements it over HTTP.

mod grant_protocol;
mod http_grants;
mod server_clock;

pub use {
    grant_protocol::{GrantProtocol, TimestampedReply},
    http_grants::{HttpGrants, ORDER_PATH},
    server_clock::{ClockTable, ServerClock, ServerTime},
};
