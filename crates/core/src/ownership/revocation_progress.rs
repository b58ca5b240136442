//! How far a moving range has been taken from its owner.
//!
//! The owner's token is raised by a grant, and the owner then asked to release the range. An owner that has
//! started again under its id may be at another address, if its entry is true. It is asked there as well
//! once it has failed to answer at the known address: only to release the range, as a start that holds
//! nothing is to get nothing. Its answer shows that the earlier start has ended.

use {
    super::{ServerInstance, later_start::may_have_ended},
    crate::{fleet::FleetView, time::BootTime},
    std::net::SocketAddr,
};

/// Steps in which a range is revoked from its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RevocationStep {
    /// Send a grant with a higher token, so that the server refuses renewals by earlier leaders.
    #[default]
    RaiseToken,
    /// Send a release, which ends the lease.
    Release,
    /// The server no longer holds the range.
    Done,
}

/// Which start of the owner gets the next order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RevocationTarget {
    /// The one that the assignment names.
    Owner,
    /// A later one at another address.
    LaterStart(ServerInstance),
    /// The owner has ended, and no later start is known.
    Nobody,
}

/// Revocation of one moving range.
#[derive(Clone, Debug, Default)]
pub(super) struct RevocationProgress {
    pub(super) step: RevocationStep,
    pub(super) in_flight: bool,
    /// Whether the order sent last is a grant (a raise of the token).
    pub(super) is_grant: bool,
    /// Later start of the owner, at another address, that got the order sent last.
    pub(super) asked_later_start: Option<ServerInstance>,
    /// Whether the last order failed.
    pub(super) failed: bool,
    /// Whether an entry has caused an order before its time.
    prompted: bool,
    pub(super) due_at: BootTime,
    /// Number of grants sent to raise the token.
    pub(super) raises_sent: u64,
    pub(super) handover: Option<String>,
}

impl RevocationProgress {
    /// Offset of the token of a release: that of the last raise.
    pub(super) fn release_offset(&self) -> u64 {
        self.raises_sent.saturating_sub(1)
    }

    /// Whether an entry tells that the owner may have ended, while an earlier order waits for an answer
    /// that will not come then. Only once, as any program may write entries.
    pub(super) fn is_prompted(&mut self, fleet: &FleetView, owner: &ServerInstance) -> bool {
        let awaits_grant = self.in_flight && self.is_grant;
        if self.prompted || awaits_grant || !may_have_ended(fleet, owner) {
            return false;
        }
        self.prompted = true;
        self.failed = true;
        // A raise that follows is to have another token than the release in flight.
        self.raises_sent = self.raises_sent.max(1);
        true
    }

    /// Chooses which start of the owner gets the next order.
    pub(super) fn choose_target(
        &mut self,
        owner_address: SocketAddr,
        owner_has_ended: bool,
        later_start: Option<ServerInstance>,
    ) -> RevocationTarget {
        let later_start = later_start.filter(|start| start.address != owner_address);
        let asks_later_start = owner_has_ended || (self.failed && self.asked_later_start.is_none());
        self.asked_later_start = later_start.filter(|_| asks_later_start);
        match &self.asked_later_start {
            Some(start) => RevocationTarget::LaterStart(start.clone()),
            None if owner_has_ended => RevocationTarget::Nobody,
            None => RevocationTarget::Owner,
        }
    }
}
