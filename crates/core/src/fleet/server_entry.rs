//! One backend server.

use {
    crate::ids::{ServerId, ServiceName, ZoneName},
    bincode::{Decode, Encode},
    std::{net::SocketAddr, time::Duration},
};

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ServerPhase {
    /// Takes requests.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Id.
    pub id: ServerId,
    /// Start of this incarnation; an id may start again.
    pub incarnation: u64,
    /// Service.
    pub service: ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that run at once.
    pub slots: u32,
    /// Phase.
    pub phase: ServerPhase,
    /// Time for which it stays slow after its start.
    pub warmup: Duration,
}
