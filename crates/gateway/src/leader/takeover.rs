//! The conditional write that makes this host the leader.

use {
    super::owner_store::{OwnerStore, WriteOutcome},
    camphorcove_core::{
        ids::StoreVersion,
        ownership::{ElectorSource, LeaderRecord, OwnerState, Predecessor, RecoveryPhase},
    },
    camphorcove_platform::FIRST_STORE_EPOCH,
};

/// What this host knows of the leadership before it tries to take over.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLeadership {
    /// Latest known term.
    pub term: Option<u64>,
    /// The leader sends digests, but does not reach the store.
    pub leader_lives: bool,
    /// Epoch in which this host has already waited for others to write a lost assignment again.
    pub deferred_epoch: Option<u64>,
}

/// Result of a takeover attempt.
#[derive(Debug)]
pub(super) struct TakeoverEnded {
    /// Written assignment and its version, if this host is the leader now.
    pub won: Option<(OwnerState, StoreVersion)>,
    /// The leaders before this one.
    pub predecessor: Predecessor,
    /// Whether the assignment may not name all owners.
    pub recovery: Option<RecoveryPhase>,
    /// Whether earlier leaders count the electors that the assignment names.
    pub elector_source: ElectorSource,
    /// Whether the attempt failed because of another leader.
    pub other_leader: bool,
    /// Epoch in which the assignment was lost and is left to hosts that know more of it.
    pub deferred_epoch: Option<u64>,
}

impl TakeoverEnded {
    fn failed(other_leader: bool) -> Self {
        Self {
            won: None,
            predecessor: Predecessor::Ended,
            recovery: None,
            elector_source: ElectorSource::Store,
            other_leader,
            deferred_epoch: None,
        }
    }
}

/// Reads the assignment and writes this host into it as the leader of the next term.
///
/// Does not write if the stored term is newer than the known one and has another host as its
/// leader. After the store has lost writes, it starts from the latest assignment that the store
/// or this host knows. If there is none, the store is new or has lost it. `secret` becomes the datagram key if there is no assignment yet.
pub(super) async fn take_over(
    owners: &OwnerStore,
    record: LeaderRecord,
    known: KnownLeadership,
    secret: String,
) -> TakeoverEnded {
    let stored = match owners.read().await {
        Ok(stored) => stored,
        Err(fault) => {
            log::warn!(reason:% = fault; "takeover failed: cannot read the assignment");
            return TakeoverEnded::failed(false);
        }
    };
    let version = stored.version;
    let remembered = owners.known().filter(|remembered| {
        let stored = stored.state.as_ref();
        stored.is_none_or(|stored| remembered.is_newer_than(stored))
    });
    let lacks_writes = match (&remembered, &stored.state) {
        (Some(state), _) => state.lacks_writes(version.epoch),
        (None, Some(state)) => state.lacks_writes(version.epoch),
        // A store that has lost writes may have lost the assignment since before its creation.
        (None, None) => version.epoch > FIRST_STORE_EPOCH,
    };
    // The living leader knows all writes, so it is the best one to write them again; next come
    // hosts that remember the assignment.
    let others_know_more = known.leader_lives || remembered.is_none();
    if lacks_writes && others_know_more && known.deferred_epoch != Some(version.epoch) {
        return TakeoverEnded {
            deferred_epoch: Some(version.epoch),
            ..TakeoverEnded::failed(true)
        };
    }
    let is_remembered = remembered.is_some();
    let mut state = match (remembered, stored.state) {
        (Some(remembered), _) => OwnerState::clone(&remembered),
        (None, Some(stored)) => stored,
        (None, None) => {
            let mut state = OwnerState::new(secret);
            state.enter_epoch(FIRST_STORE_EPOCH);
            state
        }
    };
    // A copy of an assignment that was being recovered does not show what had been lost before.
    let is_complete = is_remembered && !state.may_lack_owners;
    // Gives a leader that this host did not know of time to send its first digest.
    let unknown = known.term.is_none_or(|known| state.term > known);
    let same_host =
        |leader: &LeaderRecord| leader.host == record.host && leader.address == record.address;
    if unknown
        && state
            .leader
            .as_ref()
            .is_some_and(|leader| !same_host(leader))
    {
        return TakeoverEnded::failed(true);
    }
    if lacks_writes {
        state.skip_lost_terms(version.epoch);
    }
    state.enter_epoch(version.epoch);
    let recovery = match (lacks_writes, is_complete) {
        (false, _) => None,
        (true, true) => Some(RecoveryPhase::Unverified),
        (true, false) => Some(RecoveryPhase::Withdrawn),
    };
    state.may_lack_owners = recovery.is_some();
    if let Some(recovery) = recovery {
        log::warn!(term = state.term, stored:% = version, recovery:? = recovery; "assignment may lack writes, taking over");
    }
    if recovery == Some(RecoveryPhase::Withdrawn) {
        state.withdraw_all();
    }
    // The end of the previous leader says nothing of those that it had not outlasted.
    let others_may_act = lacks_writes || state.earlier_leaders_may_act;
    let predecessor = match (state.begin_term(record), others_may_act) {
        (_, true) => Predecessor::Unknown,
        (Some(leader), false) => Predecessor::Known(leader),
        (None, false) => Predecessor::Ended,
    };
    state.earlier_leaders_may_act = predecessor != Predecessor::Ended;
    match owners.write(&state, version).await {
        (_, WriteOutcome::Written { version }) => TakeoverEnded {
            won: Some((state, version)),
            predecessor,
            recovery,
            elector_source: match lacks_writes {
                true => ElectorSource::Copy,
                false => ElectorSource::Store,
            },
            other_leader: false,
            deferred_epoch: None,
        },
        (_, WriteOutcome::Lost | WriteOutcome::WritesLost { .. }) => TakeoverEnded::failed(true),
        (_, WriteOutcome::NotDone) => TakeoverEnded::failed(false),
    }
}
