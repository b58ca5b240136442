//! Times for which servers want no requests from this host, as their answers name them.

use {
    super::HostState,
    camphorcove_core::ids::ServerId,
    std::{sync::atomic::Ordering, time::Duration},
};

impl HostState {
    /// Records that a server turned a request away and wants no others for `pause`.
    pub fn record_pause(&self, server: &ServerId, incarnation: u64, pause: Duration) {
        let now = self.now();
        let begun = self.lock().pauses.record(server, incarnation, pause, now);
        let Some(pause) = begun else {
            return;
        };
        self.counters.pauses.fetch_add(1, Ordering::Relaxed);
        log::info!(
            server = server.as_str(),
            incarnation,
            pause_ms:% = pause.as_millis();
            "server wants no requests for pause_ms, sending none"
        );
    }

    /// Forgets the pauses that are over.
    pub fn expire_pauses(&self) {
        let now = self.now();
        for server in self.lock().pauses.expire(now) {
            log::info!(server = server.as_str(); "pause of server is over, sending requests again");
        }
    }

    /// Number of servers that want no requests from this host.
    pub fn paused_servers(&self) -> usize {
        let now = self.now();
        self.lock().pauses.count(now)
    }
}
