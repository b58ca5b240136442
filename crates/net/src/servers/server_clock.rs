//! Converts times on this host's clock to deadlines on a backend server's clock.
//!
//! Every reply of a server carries the time on its clock. A grant that ends at
//! `end` on this host's clock is converted conservatively: the server's clock
//! showed at least `reading` when the reply arrived here, so, but for clock drift,
//! it reaches `reading + (end - received_at)` no later than `end`.

use {
    camphorcove_core::time::{BootTime, with_drift},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, RwLock},
    },
};

/// Time on a backend server's own clock, in microseconds.
///
/// Comparable only with other times of the same server.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct ServerTime(pub u64);

/// A reading of a server's clock, with the time of its arrival on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerClock {
    /// Time on the server's clock, carried in a reply.
    pub reading: ServerTime,
    /// When the reply arrived, on this host's clock.
    pub received_at: BootTime,
}

impl ServerClock {
    /// Converts `end` to a time on the server's clock that is reached no later than `end`.
    pub fn deadline(&self, end: BootTime) -> ServerTime {
        let remaining = end.since(self.received_at);
        let drift = with_drift(remaining).saturating_sub(remaining);
        let overdue = self.received_at.since(end);
        // The server's clock may run slower than this one and reach the deadline too late,
        // so the possible drift is subtracted.
        let reading = BootTime(self.reading.0) + remaining;
        ServerTime(reading.minus(drift + overdue).0)
    }
}

/// Latest clock reading of each server, shared by the tasks that send orders.
///
/// Keyed by address, because a server id is unique only within its service.
#[derive(Clone, Debug, Default)]
pub struct ClockTable {
    clocks: Arc<RwLock<HashMap<SocketAddr, ServerClock>>>,
}

impl ClockTable {
    /// Replaces the reading of a server.
    pub fn record(&self, server: SocketAddr, clock: ServerClock) {
        if let Ok(mut clocks) = self.clocks.write() {
            clocks.insert(server, clock);
        }
    }

    /// Latest reading of a server's clock; `None` before its first reply.
    pub fn latest(&self, server: SocketAddr) -> Option<ServerClock> {
        self.clocks.read().ok()?.get(&server).copied()
    }
}
