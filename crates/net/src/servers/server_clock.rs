//! Deadlines in a backend server's own clock.
//!
//! Every reply of a server carries its clock. A permission that ends at `end`
//! on this host's clock is converted conservatively: the server's clock was at
//! least `reading` when the reply arrived here, so it shows
//! `reading + (end - received_at)` no later than `end`.

use {
    camphorcove_core::time::{BootTime, with_drift},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, RwLock},
    },
};

/// Microseconds on a backend server's clock; `process` changes with a restart.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct ServerTime(pub u64);

/// The latest reading of a server's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerClock {
    /// Reading carried in a reply.
    pub reading: ServerTime,
    /// When the reply arrived, on this host's clock.
    pub received_at: BootTime,
}

impl ServerClock {
    /// A server time that is reached no later than `end`.
    pub fn deadline(&self, end: BootTime) -> ServerTime {
        let ahead = end.since(self.received_at);
        let drift = with_drift(ahead).saturating_sub(ahead);
        let behind = self.received_at.since(end);
        // The server's clock may run faster than this one, so the drift is subtracted.
        let reading = BootTime(self.reading.0) + ahead;
        ServerTime(reading.minus(drift + behind).0)
    }
}

/// Latest clock readings by a server's address, shared by the tasks that talk to servers.
///
/// Addresses are unique in a region; server ids only in their service.
#[derive(Clone, Debug, Default)]
pub struct ClockTable {
    clocks: Arc<RwLock<HashMap<SocketAddr, ServerClock>>>,
}

impl ClockTable {
    /// Records a reading.
    pub fn record(&self, server: SocketAddr, clock: ServerClock) {
        if let Ok(mut clocks) = self.clocks.write() {
            clocks.insert(server, clock);
        }
    }

    /// Latest reading of a server's clock.
    pub fn latest(&self, server: SocketAddr) -> Option<ServerClock> {
        self.clocks.read().ok()?.get(&server).copied()
    }
}
