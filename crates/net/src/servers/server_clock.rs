//! Deadlines in a backend server's own clock.
//!
//! Every reply of a server carries its clock. A permission that ends at `end`
//! on this host's clock is converted conservatively: the server's clock was at
//! least `reading` when the reply arrived here, so it shows
//! `reading + (end - received_at)` no later than `end`.

use {
    camphorcove_core::{ids::ServerId, time::BootTime},
    std::{
        collections::HashMap,
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
        let ahead = end.0.saturating_sub(self.received_at.0);
        let drift = ahead / 1_000_000 * u64::from(camphorcove_core::time::CLOCK_DRIFT_PPM);
        let behind = self.received_at.0.saturating_sub(end.0);
        ServerTime((self.reading.0 + ahead).saturating_sub(drift + behind))
    }
}

/// Latest clock readings by server, shared by the tasks that talk to servers.
#[derive(Clone, Debug, Default)]
pub struct ClockTable {
    clocks: Arc<RwLock<HashMap<ServerId, ServerClock>>>,
}

impl ClockTable {
    /// Records a reading.
    pub fn record(&self, server: &ServerId, clock: ServerClock) {
        if let Ok(mut clocks) = self.clocks.write() {
            clocks.insert(server.clone(), clock);
        }
    }

    /// Latest reading of a server's clock.
    pub fn latest(&self, server: &ServerId) -> Option<ServerClock> {
        self.clocks.read().ok()?.get(server).copied()
    }
}
