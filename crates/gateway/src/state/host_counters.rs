//! Event counters of a host.

use std::sync::atomic::AtomicU64;

/// Event counters of this host, which the metrics page shows.
#[derive(Debug, Default)]
pub struct HostCounters {
    /// Requests read.
    pub requests: AtomicU64,
    /// Server answers forwarded to callers.
    pub answered: AtomicU64,
    /// Requests refused without being run.
    pub refused: AtomicU64,
    /// Requests that failed after being sent to a server.
    pub failed: AtomicU64,
    /// Requests sent to servers that limit the rate of requests.
    pub limited: AtomicU64,
    /// Requests sent to cold servers.
    pub cold: AtomicU64,
    /// Times that the limit of a cold server held a request back.
    pub cold_refused: AtomicU64,
    /// Ranges that this host has chosen to move, or to give to a first owner, as the leader.
    pub moved_ranges: AtomicU64,
    /// Keys in these ranges.
    pub moved_keys: AtomicU64,
    /// Keyed requests that servers refused as they do not own the key.
    pub not_owned: AtomicU64,
    /// Requests refused because servers have crashed under them.
    pub quarantined: AtomicU64,
    /// Announcements of servers that they leave, in answers to this host.
    pub leavings: AtomicU64,
    /// Pauses that servers have named to this host.
    pub pauses: AtomicU64,
    /// Requests refused because a server wants none for a time.
    pub paused: AtomicU64,
    /// Requests refused because the owner of their key is in an evacuated zone.
    pub evacuated: AtomicU64,
    /// Requests handed to other hosts, as this one reached no servers.
    pub relayed: AtomicU64,
    /// Requests that other hosts have handed to this one.
    pub relays_taken: AtomicU64,
    /// Retries sent to servers.
    pub retries: AtomicU64,
    /// Connections opened to servers.
    pub connections: AtomicU64,
    /// Calls to the store.
    pub store_calls: AtomicU64,
    /// Grant and release orders sent to servers.
    pub orders: AtomicU64,
    /// Configurations that could not be decoded.
    pub configs_rejected: AtomicU64,
}
