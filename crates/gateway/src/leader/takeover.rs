//! The conditional write that makes a host the leader.

use {
    super::owner_store::{OwnerStore, WriteOutcome},
    camphorcove_core::ownership::{LeaderRecord, OwnerState},
};

/// A try to take over.
#[derive(Debug)]
pub(super) struct TakeoverEnded {
    /// State and revision, if this host is the leader now.
    pub won: Option<(OwnerState, u64)>,
    /// The leader before, if it may still act.
    pub before: Option<LeaderRecord>,
    /// Whether another host acts as the leader.
    pub other: bool,
}

/// Reads the assignment and takes over, unless its leader is new to this host.
pub(super) async fn take_over(
    owners: &OwnerStore,
    record: LeaderRecord,
    known_term: Option<u64>,
    secret: String,
) -> TakeoverEnded {
    let failed = |other| TakeoverEnded {
        won: None,
        before: None,
        other,
    };
    let stored = match owners.read().await {
        Ok(stored) => stored,
        Err(fault) => {
            log::warn!(reason:% = fault; "no takeover: the assignment cannot be read");
            return failed(false);
        }
    };
    let (mut state, revision) = match stored {
        Some((state, revision)) => (state, revision),
        None => (OwnerState::new(secret), 0),
    };
    // A leader that this host has just learned of gets time to be heard.
    let unknown = known_term.is_none_or(|known| state.term > known);
    let same_host =
        |leader: &LeaderRecord| leader.host == record.host && leader.address == record.address;
    if unknown
        && state
            .leader
            .as_ref()
            .is_some_and(|leader| !same_host(leader))
    {
        return failed(true);
    }
    let before = state.begin_term(record);
    match owners.write(&state, revision).await {
        (_, WriteOutcome::Written { revision }) => TakeoverEnded {
            won: Some((state, revision)),
            before,
            other: false,
        },
        (_, WriteOutcome::Lost) => failed(true),
        (_, WriteOutcome::NotDone) => failed(false),
    }
}
