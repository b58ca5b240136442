//! Registration entry of a backend server.

use {
    crate::ids::{ServerId, ServiceName, ZoneName},
    bincode::{Decode, Encode},
    std::{net::SocketAddr, time::Duration},
};

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ServerPhase {
    /// Takes new requests.
    Ready,
    /// Finishes its requests in progress and leaves.
    Draining,
}

/// What a server registers about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Server id, kept across restarts.
    pub id: ServerId,
    /// Identifies this start of the server; a restart under the same id has another one.
    pub incarnation: u64,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address for requests, and for orders of the leader.
    pub address: SocketAddr,
    /// Availability zone in which the server runs.
    pub zone: ZoneName,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server takes new work.
    pub phase: ServerPhase,
    /// Time after its start during which the server is slower than usual.
    pub warmup: Duration,
}
