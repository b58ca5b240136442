//! What shows that an owner has ended, so that its keys need not wait for the end of its leases.
//!
//! The fleet of a leader may be behind the assignment: the host may have been cut off while servers
//! ended and started, or the store may have returned an older copy of their entries. A difference
//! between the two therefore proves nothing by itself. Only the start of a later server does, as an
//! address is used again only after its previous server has ended.

use {
    super::ServerInstance,
    crate::{
        fleet::{FleetView, ServerEntry},
        ids::ServerId,
    },
    std::{fmt, net::SocketAddr},
};

/// Proof that a server instance has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// The server has started again under its id.
    Restarted {
        /// Identifies the later start.
        incarnation: u64,
        /// Address of the later start.
        address: SocketAddr,
    },
    /// A server with another id has started at its address.
    Replaced {
        /// The later server.
        by: ServerId,
        /// Identifies the start of the later server.
        incarnation: u64,
    },
    /// Another server answered an order at its address.
    OtherServerAnswered,
}

impl EndProof {
    /// Looks for a proof in the fleet.
    ///
    /// Servers at the same address are told apart by the time of their start, with a precision of
    /// milliseconds; an address is used again only seconds after the end of its server, which
    /// exceeds the differences between their clocks.
    pub(super) fn find(fleet: &FleetView, instance: &ServerInstance) -> Option<Self> {
        let is_later = |entry: &ServerEntry| entry.incarnation > instance.incarnation;
        if let Some(entry) = fleet.get(&instance.id) {
            return is_later(entry).then_some(Self::Restarted {
                incarnation: entry.incarnation,
                address: entry.address,
            });
        }
        let mut entries = fleet.entries();
        let successor =
            entries.find(|entry| entry.address == instance.address && is_later(entry))?;
        Some(Self::Replaced {
            by: successor.id.clone(),
            incarnation: successor.incarnation,
        })
    }

    /// Whether the server that has followed may hold keys by orders for the ended one: orders name
    /// the id only, so a later start at the same address may have carried them out. It holds these
    /// keys until it has released them or the leases have ended.
    pub(super) fn leaves_keys_held(&self, instance: &ServerInstance) -> bool {
        match self {
            Self::Restarted { address, .. } => *address == instance.address,
            Self::Replaced { .. } | Self::OtherServerAnswered => false,
        }
    }
}

impl fmt::Display for EndProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Restarted {
                incarnation,
                address,
            } => write!(f, "started again at {address}, incarnation {incarnation}"),
            Self::Replaced { by, incarnation } => {
                write!(f, "{by} has its address, incarnation {incarnation}")
            }
            Self::OtherServerAnswered => f.write_str("another server answers at its address"),
        }
    }
}
