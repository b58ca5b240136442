//! What the planner learns, and what it asks the leader to do.

use {
    super::{ElectorList, KeyRange, OwnerState, ServerInstance},
    crate::{
        ids::{HostId, ServiceName},
        time::BootTime,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Why the assignment may not name all owners, after the store has lost writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// It is what the leader's host remembers; other hosts may remember a later one.
    Unverified,
    /// It lacks writes, and all keys have been taken from the owners that it names.
    Withdrawn,
}

/// Why an order failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The server has already seen a higher token for the range.
    Superseded,
    /// Another server instance answered at the address.
    OtherServer,
    /// The order was not sent.
    NotSent,
    /// No answer came; the server may have received the order.
    Unanswered,
    /// The server rejected the order for another reason.
    Rejected,
}

/// Event that the planner handles.
#[derive(Clone, Debug)]
pub enum PlanInput {
    /// The store acknowledged the pending write; holds the time at which the call was sent.
    WriteAcked(BootTime),
    /// The pending write did not change the stored assignment.
    WriteNotApplied,
    /// The store has lost the acknowledged assignment and holds an earlier one; holds the store's
    /// epoch.
    WritesLost(u64),
    /// The store confirmed this host as the leader; holds the time at which the call was sent.
    Confirmed(BootTime),
    /// Hosts that have reported to this leader recently.
    Reports(BTreeSet<HostId>),
    /// Electors for the next write. Only to be changed when no earlier leader can get support.
    Electors(ElectorList),
    /// A majority of hosts remembers no later assignment than this leader.
    AssignmentVerified,
    /// Another host remembers a later assignment than this leader.
    AssignmentLacksWrites,
    /// The previous leader sends no orders after this time.
    PredecessorEnds(BootTime),
    /// A grant was answered or failed.
    GrantDone {
        /// Keyed service.
        service: ServiceName,
        /// Range of keys that the order covers.
        range: KeyRange,
        /// Token of the record that the order was for.
        token: u64,
        /// Server instance that the order is sent to.
        server: ServerInstance,
        /// Success, or why the grant failed.
        result: Result<(), OrderFailure>,
    },
    /// A release was answered, with the state to hand over to the next owner, or failed.
    ReleaseDone {
        /// Keyed service.
        service: ServiceName,
        /// Range of keys that the order covers.
        range: KeyRange,
        /// Token of the record that the order was for.
        token: u64,
        /// Added to `token` to give the token of the order itself.
        token_offset: u64,
        /// Server instance that the order is sent to.
        server: ServerInstance,
        /// State for the next owner, if the server gave any, or why the release failed.
        result: Result<Option<String>, OrderFailure>,
    },
}

/// Action that the leader must carry out for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// Replace the assignment in the store.
    Write(Box<OwnerState>),
    /// Grant a lease on a range, or renew it.
    Grant {
        /// Keyed service.
        service: ServiceName,
        /// Server instance that the order is sent to.
        server: ServerInstance,
        /// Range of keys that the order covers.
        range: KeyRange,
        /// Token of the record that the order is for.
        token: u64,
        /// Added to `token` to give the token of the order itself.
        token_offset: u64,
        /// Length of the lease.
        lease: Duration,
        /// State that the previous owner handed over.
        handover: Option<String>,
    },
    /// Ask the owner to release a range.
    Release {
        /// Keyed service.
        service: ServiceName,
        /// Server instance that the order is sent to.
        server: ServerInstance,
        /// Range of keys that the order covers.
        range: KeyRange,
        /// Token of the record that the order is for.
        token: u64,
        /// Added to `token` to give the token of the order itself.
        token_offset: u64,
        /// Timeout for the answer.
        limit: Duration,
    },
}
