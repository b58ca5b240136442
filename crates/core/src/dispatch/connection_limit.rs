//! Connections that a host may open to one server.
//!
//! A server accepts a number of connections from all hosts together, and fewer while its queue is
//! long. It resets those above that, some only after they have been accepted. A request that was
//! sent on such a connection may have run, as far as its host can tell. Once a server has reset a new
//! connection, the host therefore opens fewer for some time and checks each one before it is used.

use {crate::time::BootTime, std::time::Duration};

/// Time for which a reset counts: a full queue of a slow server drains within it.
const RESET_MEMORY: Duration = Duration::from_secs(2);

/// Connections that a host may always open to a server, whatever its share.
const MIN_CONNECTIONS: u32 = 2;

/// Connections that a host opens to a server that has reset a new one. With a single one, requests beside
/// the one in flight found no connection and were refused.
const CONNECTIONS_AFTER_RESET: u32 = 2;

/// Resets of one server, from which the number of connections to it is decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    /// When the server last reset a new connection.
    reset_at: Option<BootTime>,
}

impl ConnectionLimit {
    /// Records that the server has reset a new connection.
    pub fn record_reset(&mut self, now: BootTime) {
        self.reset_at = Some(now);
    }

    /// Whether the server has reset a new connection recently, so that another one is to be checked
    /// before it is used.
    pub fn has_reset(&self, now: BootTime) -> bool {
        let reset_at = self.reset_at;
        reset_at.is_some_and(|reset_at| now.since(reset_at) < RESET_MEMORY)
    }

    /// Whether the host may open a connection in addition to `open` ones, where the server accepts
    /// `accepted` from `hosts` hosts together.
    pub fn may_open(&self, open: u32, accepted: u32, hosts: u32, now: BootTime) -> bool {
        let limit = match self.has_reset(now) {
            true => CONNECTIONS_AFTER_RESET,
            false => (accepted / hosts.max(1)).max(MIN_CONNECTIONS),
        };
        open < limit
    }
}
