//! Whether this host reaches servers, and which hosts may reach them in its place.

use {
    super::HostState,
    camphorcove_core::{
        dispatch::ReachCheck,
        fleet::{ServerEntry, ServerPhase},
        ids::ServerId,
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, time::Duration},
};

impl HostState {
    /// Records that a server has accepted a connection.
    pub fn record_server_connection(&self) {
        self.lock().server_reach.record_connection();
    }

    /// Records that a server has answered a request.
    pub fn record_server_answer(&self) {
        let now = self.now();
        self.lock().server_reach.record_answer(now);
    }

    /// Records that a server has not answered a request in time.
    pub fn record_server_silence(&self, server: &ServerId) {
        let now = self.now();
        self.lock().server_reach.record_silence(server, now);
        self.reach_doubted.notify_one();
    }

    /// Records that a server has accepted no connection.
    pub fn record_unreachable_server(&self, server: &ServerId) {
        self.lock().server_reach.record_failure(server);
        self.reach_doubted.notify_one();
    }

    /// Whether this host reaches no servers.
    pub fn lacks_servers(&self) -> bool {
        self.lock().server_reach.is_lost()
    }

    /// Time for which this host has reached no servers; zero if it reaches some.
    pub fn servers_lost_for(&self) -> Duration {
        let now = self.now();
        self.lock().server_reach.lost_for(now)
    }

    /// Addresses of up to `count` servers to check whether this host reaches servers, if that is to
    /// be checked now: random ones, first those that nothing is known against.
    pub fn begin_reach_check(&self, count: usize) -> Vec<SocketAddr> {
        let now = self.now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        if !inner.server_reach.begin_check(now) {
            return Vec::new();
        }
        let fleet = inner.fleet.clone();
        let mut entries: Vec<&ServerEntry> = fleet
            .entries()
            .filter(|entry| entry.phase == ServerPhase::Ready && inner.is_configured(entry))
            .collect();
        entries.shuffle(&mut inner.random);
        entries.sort_by_key(|entry| inner.server_reach.has_failed(&entry.id));
        entries
            .iter()
            .take(count)
            .map(|entry| entry.address)
            .collect()
    }

    /// Addresses of up to `count` random servers besides this one.
    pub fn other_servers(&self, server: &ServerId, count: usize) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let fleet = inner.fleet.clone();
        let mut entries: Vec<&ServerEntry> = fleet
            .entries()
            .filter(|entry| entry.phase == ServerPhase::Ready && entry.id != *server)
            .filter(|entry| inner.is_configured(entry))
            .collect();
        let (chosen, _) = entries.partial_shuffle(&mut inner.random, count);
        chosen.iter().map(|entry| entry.address).collect()
    }

    /// Records the result of a check; returns whether this host has just lost its servers.
    pub fn record_reach_check(&self, check: ReachCheck) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let changed = inner.server_reach.record_check(check, now);
        let is_lost = inner.server_reach.is_lost();
        let (tried, accepted) = (check.tried, check.accepted);
        match (changed, is_lost) {
            (true, true) => {
                log::warn!(tried, accepted; "this host reaches no servers, other hosts get its requests");
            }
            (true, false) => log::info!(tried, accepted; "this host reaches servers again"),
            (false, _) => {}
        }
        changed && is_lost
    }

    /// Records the other hosts that a digest names; an empty list of all hosts changes nothing.
    pub fn set_relay_peers(&self, hosts: &[SocketAddr], without_servers: &[SocketAddr]) {
        self.lock().relay_peers.update(hosts, without_servers);
    }

    /// Leaves a host out that could not take a request.
    pub fn leave_out_relay_peer(&self, host: SocketAddr) {
        let now = self.now();
        self.lock().relay_peers.leave_out(host, now);
    }

    /// Up to `count` other hosts that may send a request to a server, in random order.
    pub fn choose_relay_peers(&self, count: usize) -> Vec<SocketAddr> {
        let now = self.now();
        let own = self.settings.peers;
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.relay_peers.choose(own, count, now, &mut inner.random)
    }
}
