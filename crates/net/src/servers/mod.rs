//! Adapter to backend servers' grant interface.
//!
//! [`GrantProtocol`] is the edge: another grant interface needs another
//! implementation and nothing else.

mod grant_protocol;
mod server_clock;

pub use {
    grant_protocol::{GrantProtocol, StampedReply},
    server_clock::{ClockTable, ServerClock, ServerTime},
};
