//! Follows a kind: through the leader while it sends digests, else by a watch of the
//! store. The kind is listed first, and again when the history is gone or a watch lags.

use {
    crate::state::{HostState, RevisionSpan, StoreKind},
    camphorcove_platform::{
        ObjectListing, ReadConsistency, StoreClient, StoreError, StoredObject, WatchEvent,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Wait of a watch without changes. Only a few hosts watch at the same time; should the
/// connections of all of them go silent, a change is still found within this time.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Wait of a watch for changes that the store is known to have.
const CATCH_UP_WAIT: Duration = Duration::from_millis(500);

/// Time beyond the wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Longest wait for a list: the store may be some sixty times slower than usual.
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// First and longest pause after a failed call.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Time for which a watch may lag behind other hosts before the kind is listed.
const LAG_LIMIT: Duration = Duration::from_millis(250);

/// Time in which the leader sends again what did not arrive.
const RESEND_LIMIT: Duration = Duration::from_millis(400);

/// Pause after changes for each host, so that changes in quick succession come with one
/// paid call, and the calls of all hosts together stay bounded.
const GATHER_PER_HOST: Duration = Duration::from_millis(12);

/// Shortest and longest such pause; a change has to be in force within 2 s.
const GATHER_LEAST: Duration = Duration::from_millis(120);
const GATHER_MOST: Duration = Duration::from_millis(500);

/// What happened to an object.
#[derive(Debug)]
pub enum KindChange {
    /// It is new or has changed.
    Changed(StoredObject),
    /// It is gone.
    Removed(StoredObject),
}

/// How a host fetches changes that the leader did not send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// By a watch from the revision that it knows.
    Watch,
    /// By a list; the leader never sends the changes themselves.
    List,
}

/// Takes the changes of one kind.
pub trait KindFollower: Send + 'static {
    /// Kind, as a key of [`SeenRevisions`](crate::state::SeenRevisions).
    const STORE_KIND: StoreKind;
    /// Name of the kind in the store.
    const KIND_NAME: &'static str;
    /// How missed changes are fetched.
    const CATCH_UP: CatchUp;

    /// Takes all objects there are, as of the end of the span.
    fn listed(&mut self, objects: Vec<StoredObject>, span: RevisionSpan);

    /// Takes all changes within the span, in order.
    fn changed(&mut self, changes: Vec<KindChange>, span: RevisionSpan);
}

/// Why the kind has to be listed again.
enum FollowEnd {
    Fault(StoreError),
    /// The host's own watch lags.
    Behind,
    /// The leader has named a newer revision.
    Newer,
}

/// What a host that hears from the leader has to do.
enum FeedEnd {
    CatchUp,
    Watch,
}

/// Follows a kind for ever.
pub async fn follow<F: KindFollower>(state: Arc<HostState>, store: StoreClient, mut follower: F) {
    let mut consistency = ReadConsistency::Current;
    loop {
        list(&state, &store, &mut follower, consistency).await;
        consistency = ReadConsistency::Current;
        match stay_current(&state, &store, &mut follower).await {
            FollowEnd::Behind => {
                log::info!(kind = F::KIND_NAME; "other hosts have seen more, listing anew");
            }
            FollowEnd::Newer => consistency = ReadConsistency::Stale,
            FollowEnd::Fault(fault) => {
                log::info!(kind = F::KIND_NAME, reason:% = fault; "watch ended, listing anew");
            }
        }
    }
}

/// Lists the kind, however long it takes.
///
/// Old data are tried only where a revision is known that they must reach; they do not
/// go back, as the newest version of each object counts.
async fn list<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    mut consistency: ReadConsistency,
) {
    let mut pause = PAUSE_FIRST;
    let mut lost = false;
    loop {
        count_call(state);
        match store.list(F::KIND_NAME, consistency, LIST_LIMIT).await {
            Ok(listing)
                if consistency == ReadConsistency::Stale
                    && !reaches(state, F::STORE_KIND, &listing) =>
            {
                log::debug!(kind = F::KIND_NAME, revision = listing.revision; "stale list is too old");
                consistency = ReadConsistency::Current;
            }
            Ok(listing) => {
                if lost {
                    log::info!(kind = F::KIND_NAME, revision = listing.revision; "store regained");
                    state.note_store_returned();
                }
                let newest = listing.objects.iter().map(|object| object.revision).max();
                let span = RevisionSpan {
                    from: state.seen_through(F::STORE_KIND),
                    through: listing.revision,
                    newest: newest.unwrap_or_default(),
                };
                follower.listed(listing.objects, span);
                return;
            }
            Err(fault) => {
                consistency = ReadConsistency::Current;
                if !lost {
                    log::warn!(kind = F::KIND_NAME, reason:% = fault; "store lost");
                    lost = true;
                }
                sleep(pause.mul_f64(0.5 + state.random_fraction())).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}

/// Whether a list has the newest change that other hosts have seen.
fn reaches(state: &HostState, kind: StoreKind, listing: &ObjectListing) -> bool {
    let newest = listing.objects.iter().map(|object| object.revision).max();
    newest.unwrap_or_default() >= state.peer_revision(kind)
}

async fn stay_current<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
) -> FollowEnd {
    loop {
        let wait = match await_feed_end(state, F::STORE_KIND, F::CATCH_UP).await {
            FeedEnd::Watch => WATCH_WAIT,
            FeedEnd::CatchUp if F::CATCH_UP == CatchUp::List => {
                // Lists for changes in quick succession are gathered, too.
                sleep(gather_pause(state) / 2).await;
                return FollowEnd::Newer;
            }
            FeedEnd::CatchUp => CATCH_UP_WAIT,
        };
        if let Err(end) = watch(state, store, follower, wait).await {
            return end;
        }
    }
}

/// Waits until the leader's news no longer suffice.
async fn await_feed_end(state: &HostState, kind: StoreKind, catch_up: CatchUp) -> FeedEnd {
    let lag = match catch_up {
        CatchUp::Watch => RESEND_LIMIT,
        CatchUp::List => Duration::ZERO,
    };
    loop {
        let changed = state.revisions_changed.notified();
        let left = state.feed_time_left();
        if left.is_zero() {
            return FeedEnd::Watch;
        }
        if state.is_behind(kind) {
            sleep(lag).await;
            if state.is_behind(kind) {
                return FeedEnd::CatchUp;
            }
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = sleep(left) => {}
        }
    }
}

/// One watch of the store.
async fn watch<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    wait: Duration,
) -> Result<(), FollowEnd> {
    count_call(state);
    let from = state.seen_through(F::STORE_KIND);
    let answer = tokio::select! {
        answer = store.watch(F::KIND_NAME, from, wait, wait + WATCH_SLACK) => answer,
        () = overtaken(state, F::STORE_KIND) => return Err(FollowEnd::Behind),
    };
    let answer = answer.map_err(FollowEnd::Fault)?;
    // The leader's news came first; the changes would be taken out of order.
    if state.seen_through(F::STORE_KIND) != from {
        return Ok(());
    }
    let mut changes = Vec::with_capacity(answer.events.len());
    let mut newest = 0;
    for event in answer.events {
        let (WatchEvent::Changed(object) | WatchEvent::Removed(object)) = &event;
        newest = newest.max(object.revision);
        changes.push(match event {
            WatchEvent::Changed(object) => KindChange::Changed(object),
            WatchEvent::Removed(object) => KindChange::Removed(object),
        });
    }
    let span = RevisionSpan {
        from,
        through: answer.revision,
        newest,
    };
    if changes.is_empty() {
        state.note_seen(F::STORE_KIND, span);
        return Ok(());
    }
    follower.changed(changes, span);
    sleep(gather_pause(state)).await;
    Ok(())
}

/// Completes when other hosts have seen a change that this one still has not.
async fn overtaken(state: &HostState, kind: StoreKind) {
    loop {
        let changed = state.revisions_changed.notified();
        if state.is_behind(kind) {
            sleep(LAG_LIMIT).await;
            if state.is_behind(kind) {
                return;
            }
            continue;
        }
        changed.await;
    }
}

/// The leader passes changes on, so it gathers least; hosts without it, most.
fn gather_pause(state: &HostState) -> Duration {
    if state.is_leader() {
        return GATHER_LEAST;
    }
    (GATHER_PER_HOST * state.hosts()).clamp(GATHER_LEAST, GATHER_MOST)
}

fn count_call(state: &HostState) {
    state.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
