//! The conditional write that makes this host the leader.

use {
    super::owner_store::{OwnerStore, WriteOutcome},
    camphorcove_core::{
        ids::StoreVersion,
        ownership::{LeaderRecord, OwnerState},
    },
};

/// Result of a takeover attempt.
#[derive(Debug)]
pub(super) struct TakeoverEnded {
    /// Written assignment and its version, if this host is the leader now.
    pub won: Option<(OwnerState, StoreVersion)>,
    /// The previous leader, if it may still act.
    pub predecessor: Option<LeaderRecord>,
    /// Whether the attempt failed because of another leader.
    pub other_leader: bool,
}

/// Reads the assignment and writes this host into it as the leader of the next term.
///
/// Does not write if the stored term is newer than `known_term` and has another host as its
/// leader. `secret` becomes the datagram key if there is no assignment yet.
pub(super) async fn take_over(
    owners: &OwnerStore,
    record: LeaderRecord,
    known_term: Option<u64>,
    secret: String,
) -> TakeoverEnded {
    let failed = |other_leader| TakeoverEnded {
        won: None,
        predecessor: None,
        other_leader,
    };
    let stored = match owners.read().await {
        Ok(stored) => stored,
        Err(fault) => {
            log::warn!(reason:% = fault; "takeover failed: cannot read the assignment");
            return failed(false);
        }
    };
    let version = stored.version;
    let mut state = stored.state.unwrap_or_else(|| OwnerState::new(secret));
    // The store has lost writes. The leader, if it lives, writes its assignment again.
    if owners
        .known()
        .is_some_and(|(known, _)| known.is_newer_than(&state))
    {
        return failed(true);
    }
    // Gives a leader that this host did not know of time to send its first digest.
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
    let predecessor = state.begin_term(record);
    match owners.write(&state, version).await {
        (_, WriteOutcome::Written { version }) => TakeoverEnded {
            won: Some((state, version)),
            predecessor,
            other_leader: false,
        },
        (_, WriteOutcome::Lost | WriteOutcome::WritesLost { .. }) => failed(true),
        (_, WriteOutcome::NotDone) => failed(false),
    }
}
