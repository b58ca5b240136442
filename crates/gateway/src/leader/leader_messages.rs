//! Messages that the leader actor handles.

use {
    super::owner_store::WriteOutcome,
    crate::{
        peers::{Digest, ElectorChange, OwnerChange, Report},
        state::SeenVersions,
    },
    camphorcove_core::{ids::StoreVersion, ownership::PlanInput, time::BootTime},
    std::net::SocketAddr,
};

/// Runs the periodic work; the reply is the pause until the next tick.
#[derive(Debug)]
pub struct Tick;

/// The assignment was read from the store and is in the host state.
#[derive(Debug)]
pub struct OwnersRead;

/// A report arrived from another host.
#[derive(Debug)]
pub struct ReportReceived {
    /// Load and store versions of the host.
    pub report: Report,
    /// Address of the host, to which digests are sent.
    pub from: SocketAddr,
}

/// A digest arrived from a leader.
#[derive(Debug)]
pub struct DigestReceived {
    /// Summary of all reports, and the hosts that are to watch the store.
    pub digest: Digest,
    /// Address of the leader.
    pub from: SocketAddr,
}

/// A change of the assignment arrived from the leader.
#[derive(Debug)]
pub struct OwnerChangeReceived(pub OwnerChange);

/// The same with new electors.
#[derive(Debug)]
pub struct ElectorChangeReceived(pub ElectorChange);

/// A host missed changes and asks the leader to send them again.
#[derive(Debug)]
pub struct ResendRequested {
    /// Versions through which the host has followed the store.
    pub versions: SeenVersions,
    /// Address of the host, to which the changes are sent.
    pub from: SocketAddr,
}

/// Sends this host's news of suspected requests to all hosts.
#[derive(Debug)]
pub struct ShareSuspects;

/// Makes this host resign as leader before it stops.
#[derive(Debug)]
pub struct Resign;

/// A read of the store that checks whether this host is still the leader has ended.
#[derive(Debug)]
pub(super) struct ConfirmEnded {
    /// Term for which the check was made.
    pub term: u64,
    /// What the read showed.
    pub outcome: ConfirmOutcome,
}

/// What a read of the store shows about the leadership of this process.
#[derive(Debug)]
pub(super) enum ConfirmOutcome {
    /// The stored leader is this process; holds the time at which the read was sent.
    Confirmed(BootTime),
    /// Another process leads, or the read failed.
    Unconfirmed,
    /// The store has lost writes and holds an earlier assignment, of this version.
    WritesLost(StoreVersion),
}

/// An order to a server ended.
#[derive(Debug)]
pub(super) struct PlanEvent {
    /// Term of the planner that decided the order.
    pub term: u64,
    /// Input for the planner.
    pub input: PlanInput,
}

/// A write of the assignment to the store ended.
#[derive(Debug)]
pub(super) struct WriteEnded {
    /// Term in the written assignment.
    pub term: u64,
    /// Version that the write was to replace.
    pub replaced: StoreVersion,
    /// When the last attempt was sent.
    pub sent_at: BootTime,
    /// Whether the store holds the assignment now.
    pub outcome: WriteOutcome,
}
