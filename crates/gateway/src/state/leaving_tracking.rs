//! Servers that have announced to leave, as this host knows them from answers and from other hosts.

use {
    super::{HostState, ServerHash},
    bincode::{Decode, Encode},
    camphorcove_core::ids::ServerId,
    std::{
        collections::HashSet,
        sync::{Arc, atomic::Ordering},
    },
};

/// A server that has announced to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeavingServer {
    /// The leaving server.
    pub server: ServerHash,
    /// Its start that leaves; a later one does not.
    pub incarnation: u64,
}

impl HostState {
    /// Records that a server has announced in an answer that this start of it leaves.
    pub fn record_leaving(&self, server: &ServerId, incarnation: u64) {
        let now = self.now();
        let mut inner = self.lock();
        // All answers of a leaving server say so.
        if inner.fleet.announced_at(server, incarnation).is_some() {
            return;
        }
        self.counters.leavings.fetch_add(1, Ordering::Relaxed);
        let fleet = Arc::make_mut(&mut inner.fleet);
        let change = fleet.announce_leaving(server, incarnation, now);
        inner.apply_changes(change.as_slice(), now);
    }

    /// Records servers that another host knows to leave. Servers that this host does not know are
    /// passed over; they are named again as long as they are in the fleet of the other host.
    pub fn record_leaving_servers(&self, leaving: &[LeavingServer]) {
        if leaving.is_empty() {
            return;
        }
        let now = self.now();
        let leaving: HashSet<&LeavingServer> = leaving.iter().collect();
        let mut inner = self.lock();
        let mut unknown = Vec::new();
        for entry in inner.fleet.entries() {
            let server = LeavingServer {
                server: ServerHash::of(&entry.id),
                incarnation: entry.incarnation,
            };
            let is_known = inner.fleet.announced_at(&entry.id, entry.incarnation);
            if leaving.contains(&server) && is_known.is_none() {
                unknown.push((entry.id.clone(), entry.incarnation));
            }
        }
        for (server, incarnation) in unknown {
            let fleet = Arc::make_mut(&mut inner.fleet);
            let change = fleet.announce_leaving(&server, incarnation, now);
            inner.apply_changes(change.as_slice(), now);
        }
    }

    /// Servers of the fleet that are known to leave by their own word.
    pub fn leaving_list(&self) -> Vec<LeavingServer> {
        let inner = self.lock();
        let announced = inner.fleet.announced();
        announced
            .map(|entry| LeavingServer {
                server: ServerHash::of(&entry.id),
                incarnation: entry.incarnation,
            })
            .collect()
    }

    /// Number of servers of the fleet that have announced to leave.
    pub fn leaving_servers(&self) -> usize {
        self.lock().fleet.announced().count()
    }
}
