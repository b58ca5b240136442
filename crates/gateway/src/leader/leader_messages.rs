//! What the leader actor is told.

use {
    super::owner_store::WriteOutcome,
    crate::{
        peers::{Digest, OwnerChange, Report},
        state::SeenRevisions,
    },
    camphorcove_core::{ownership::PlanInput, time::BootTime},
    std::net::SocketAddr,
};

/// Time to act; the reply is the pause until the next one.
#[derive(Debug)]
pub struct Tick;

/// The stored assignment was read.
#[derive(Debug)]
pub struct OwnersRead;

/// A host's report.
#[derive(Debug)]
pub struct ReportReceived {
    /// Report.
    pub report: Report,
    /// Where digests go.
    pub from: SocketAddr,
}

/// The leader's digest.
#[derive(Debug)]
pub struct DigestReceived {
    /// Digest.
    pub digest: Digest,
    /// The leader's address.
    pub from: SocketAddr,
}

/// A change of the assignment that the leader sent.
#[derive(Debug)]
pub struct OwnerChangeReceived(pub OwnerChange);

/// A host missed a change and asks the leader to send it again.
#[derive(Debug)]
pub struct ResendRequested {
    /// Revisions that the host has seen.
    pub revisions: SeenRevisions,
    /// Its address.
    pub from: SocketAddr,
}

/// Give up the leadership before this host stops.
#[derive(Debug)]
pub struct Resign;

/// Whether the store confirmed the leader.
#[derive(Debug)]
pub(super) struct ConfirmEnded {
    /// Term that was asked for.
    pub term: u64,
    /// When the call was sent, if the store named this leader.
    pub confirmed: Option<BootTime>,
}

/// An order or a confirmation ended.
#[derive(Debug)]
pub(super) struct PlanEvent {
    /// Term of the plan that it is for.
    pub term: u64,
    /// Event.
    pub input: PlanInput,
}

/// A write of the assignment ended.
#[derive(Debug)]
pub(super) struct WriteEnded {
    /// Term that the write carried.
    pub term: u64,
    /// When it was sent.
    pub sent_at: BootTime,
    /// Outcome.
    pub outcome: WriteOutcome,
}
