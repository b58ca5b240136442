//! Follows one kind of store objects: through the leader while its digests arrive, otherwise
//! by a watch of the store. The kind is listed at the start, and again when the store has
//! dropped the history that a watch needs or when a watch lags.

use {
    super::OddParts,
    crate::state::{HostState, StoreKind, VersionSpan},
    camphorcove_core::ids::StoreVersion,
    camphorcove_platform::{
        ObjectListing, ReadConsistency, StoreClient, StoreError, StoredObject, WatchEvent,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Time for which the store holds a watch open if there are no changes. A connection that has gone
/// silent looks the same until the answer is overdue. Only a few hosts watch at the same time, and
/// all their connections may be silent, so that this time and the margin below together leave
/// room in the 2 s within which a change has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The same time for a watch that fetches changes which the store is known to have.
const CATCH_UP_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Additional time after which a watch without an answer counts as lost. The store may be about
/// sixty times slower than usual.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Timeout of a list call. The store may be about sixty times slower than usual.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// First and longest pause after a failed list call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest pause after a failed list call of a host to which the leader sends changes.
const MAX_RETRY_DELAY_WITH_FEED: Duration = Duration::from_secs(2);

/// Time after a list within which the next one waits, as the store may fail each watch.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Mean time after an incomplete list until the kind is listed again. Changes are watched meanwhile, so
/// this concerns only objects which have not changed since and that the list lacks.
const INCOMPLETE_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which a watch may lag behind other hosts before the kind is listed again.
const MAX_WATCH_LAG: Duration = Duration::from_millis(250);

/// Time for which a host waits for the leader to resend a missed change.
const RESEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause per host after changes. It lets changes in quick succession arrive with one billed
/// call, and grows with the number of hosts to bound the calls of all hosts together.
const BATCH_DELAY_PER_HOST: Duration = Duration::from_millis(12);

/// Bounds of this pause; a change has to be in force within 2 s.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(120);
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);

/// Change of a store object.
#[derive(Debug)]
pub enum KindChange {
    /// The object is new or has changed.
    Changed(StoredObject),
    /// The object was removed.
    Removed(StoredObject),
}

/// How a host reads changes that it did not get from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// By a watch from the last revision that it knows.
    Watch,
    /// By a list. For kinds of which only the newest version matters.
    List,
}

/// Applies the changes of one kind of store objects.
pub trait KindFollower: Send + 'static {
    /// Kind, as a key of [`SeenVersions`](crate::state::SeenVersions).
    const STORE_KIND: StoreKind;
    /// Name of the kind in the store.
    const KIND_NAME: &'static str;
    /// How missed changes are read.
    const CATCH_UP: CatchUp;

    /// Applies a list of the objects, as of the end of the span.
    fn apply_list(&mut self, listing: ObjectListing, span: VersionSpan);

    /// Applies all changes within the span, which are in order.
    fn apply_changes(&mut self, changes: Vec<KindChange>, span: VersionSpan);
}

/// Why the kind has to be listed again.
enum RelistReason {
    /// The watch failed.
    Fault(StoreError),
    /// Other hosts have seen a change that this host's watch has not shown.
    Behind,
    /// A newer revision is known, and the kind is read by lists.
    Newer,
    /// The last list was incomplete.
    Incomplete,
}

/// Why the kind is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListPurpose {
    /// Nothing is known yet.
    First,
    /// Changes may have been missed.
    CatchUp,
}

/// How to read the store when the leader's messages no longer suffice.
enum StoreRead {
    /// Read the changes that the leader did not send.
    CatchUp,
    /// Watch the store for new changes.
    Watch,
}

/// Follows one kind of store objects; never returns.
pub async fn follow<F: KindFollower>(state: Arc<HostState>, store: StoreClient, mut follower: F) {
    let mut consistency = ReadConsistency::Current;
    let mut purpose = ListPurpose::First;
    let mut odd_parts = OddParts::default();
    loop {
        // A stale read may return changes that the store has lost meanwhile.
        if state.has_lost_writes_recently() {
            consistency = ReadConsistency::Current;
        }
        list(
            &state,
            &store,
            &mut follower,
            consistency,
            purpose,
            &mut odd_parts,
        )
        .await;
        let listed_at = state.now();
        consistency = ReadConsistency::Current;
        purpose = ListPurpose::CatchUp;
        let pause = INCOMPLETE_LIST_INTERVAL.mul_f64(0.5 + state.random_fraction());
        let has_gap = odd_parts.has_gap();
        let reason = tokio::select! {
            reason = follow_changes(&state, &store, &mut follower, &mut odd_parts) => reason,
            () = sleep(pause), if has_gap => RelistReason::Incomplete,
        };
        match reason {
            RelistReason::Behind => {
                log::info!(kind = F::KIND_NAME; "watch lags behind other hosts, listing again");
            }
            RelistReason::Newer => consistency = ReadConsistency::Stale,
            RelistReason::Incomplete => {}
            RelistReason::Fault(fault) => {
                log::info!(kind = F::KIND_NAME, reason:% = fault; "watch failed, listing again");
                if state.now().since(listed_at) < MIN_LIST_INTERVAL {
                    sleep(MIN_RETRY_DELAY.mul_f64(0.5 + state.random_fraction())).await;
                }
            }
        }
    }
}

/// Lists the kind, and retries until that succeeds or the leader has sent what was missed.
///
/// A stale read is tried only where a revision is known that it has to include. If it lacks that
/// revision, it is repeated as a current read. Stale data cannot replace newer data, as older
/// versions of an object are ignored.
async fn list<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    mut consistency: ReadConsistency,
    purpose: ListPurpose,
    odd_parts: &mut OddParts,
) {
    let mut pause = MIN_RETRY_DELAY;
    let mut store_unavailable = false;
    loop {
        count_call(state);
        match store.list(F::KIND_NAME, consistency, LIST_TIMEOUT).await {
            Ok(listing)
                if consistency == ReadConsistency::Stale
                    && !includes_known_changes(state, F::STORE_KIND, &listing) =>
            {
                log::debug!(kind = F::KIND_NAME, revision:% = listing.version; "stale list lacks known changes, reading a current one");
                consistency = ReadConsistency::Current;
            }
            Ok(listing) => {
                state.record_store_success();
                state.record_store_epoch(listing.version);
                if store_unavailable {
                    log::info!(kind = F::KIND_NAME, revision:% = listing.version; "store available again");
                    state.record_store_recovery();
                }
                odd_parts.report_list(F::KIND_NAME, &listing);
                let newest = listing.objects.iter().map(|object| object.version).max();
                let span = VersionSpan {
                    from: state.seen_through(F::STORE_KIND),
                    through: listing.version,
                    newest: newest.unwrap_or_default(),
                };
                follower.apply_list(listing, span);
                return;
            }
            Err(fault) => {
                consistency = ReadConsistency::Current;
                state.record_store_failure();
                if !store_unavailable {
                    log::warn!(kind = F::KIND_NAME, reason:% = fault; "store unavailable, retrying");
                    store_unavailable = true;
                }
                sleep(pause.mul_f64(0.5 + state.random_fraction())).await;
                let has_feed = !state.feed_time_left(F::STORE_KIND).is_zero();
                if has_feed && purpose == ListPurpose::CatchUp && !state.is_behind(F::STORE_KIND) {
                    return;
                }
                let longest = match has_feed {
                    true => MAX_RETRY_DELAY_WITH_FEED,
                    false => MAX_RETRY_DELAY,
                };
                pause = (pause * 2).min(longest);
            }
        }
    }
}

/// Whether a list includes the newest change that other hosts have seen.
fn includes_known_changes(state: &HostState, kind: StoreKind, listing: &ObjectListing) -> bool {
    let newest = listing.objects.iter().map(|object| object.version).max();
    newest.unwrap_or_default() >= state.peer_version(kind)
}

/// Applies changes until the kind has to be listed again.
async fn follow_changes<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    odd_parts: &mut OddParts,
) -> RelistReason {
    loop {
        let wait = match wait_until_read_needed(state, F::STORE_KIND).await {
            StoreRead::Watch => WATCH_WAIT,
            StoreRead::CatchUp if F::CATCH_UP == CatchUp::List => {
                // The pause lets one list cover several changes in quick succession.
                sleep(batch_delay(state) / 2).await;
                return RelistReason::Newer;
            }
            StoreRead::CatchUp => CATCH_UP_WATCH_WAIT,
        };
        if let Err(end) = watch(state, store, follower, wait, odd_parts).await {
            return end;
        }
    }
}

/// Waits until the leader's messages no longer suffice.
async fn wait_until_read_needed(state: &HostState, kind: StoreKind) -> StoreRead {
    loop {
        let changed = state.versions_changed.notified();
        let left = state.feed_time_left(kind);
        if left.is_zero() {
            return StoreRead::Watch;
        }
        if let Some(missing) = state.missing_version(kind) {
            sleep(RESEND_TIMEOUT).await;
            // In a series of changes, a newer one is missing by now; its own time starts here.
            if state.seen_through(kind) < missing {
                return StoreRead::CatchUp;
            }
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = sleep(left) => {}
        }
    }
}

/// Runs one watch call and applies its changes.
async fn watch<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    wait: Duration,
    odd_parts: &mut OddParts,
) -> Result<(), RelistReason> {
    count_call(state);
    let from = state.seen_through(F::STORE_KIND);
    let response = tokio::select! {
        response = store.watch(F::KIND_NAME, from, wait, wait + WATCH_TIMEOUT_MARGIN) => response,
        () = wait_until_lagging(state, F::STORE_KIND) => return Err(RelistReason::Behind),
    };
    let response = response.map_err(RelistReason::Fault)?;
    state.record_store_success();
    if let Some(reason) = &response.unnamed {
        odd_parts.report_unnamed(F::KIND_NAME, reason);
    }
    // An update from the leader arrived first. These changes would be applied out of order.
    if state.seen_through(F::STORE_KIND) != from {
        return Ok(());
    }
    let mut changes = Vec::with_capacity(response.events.len());
    let mut newest = StoreVersion::default();
    for event in response.events {
        let (WatchEvent::Changed(object) | WatchEvent::Removed(object)) = &event;
        newest = newest.max(object.version);
        changes.push(match event {
            WatchEvent::Changed(object) => KindChange::Changed(object),
            WatchEvent::Removed(object) => KindChange::Removed(object),
        });
    }
    let span = VersionSpan {
        from,
        through: response.version,
        newest,
    };
    if changes.is_empty() {
        state.record_seen(F::STORE_KIND, span);
        return Ok(());
    }
    follower.apply_changes(changes, span);
    sleep(batch_delay(state)).await;
    Ok(())
}

/// Completes when this host has lagged behind other hosts for [`MAX_WATCH_LAG`].
async fn wait_until_lagging(state: &HostState, kind: StoreKind) {
    loop {
        let changed = state.versions_changed.notified();
        if let Some(missing) = state.missing_version(kind) {
            sleep(MAX_WATCH_LAG).await;
            if state.seen_through(kind) < missing {
                return;
            }
            continue;
        }
        changed.await;
    }
}

/// Pause after changes. It is shortest for the leader, as other hosts wait for its updates. For
/// the others it grows with the number of hosts, which all watch if there is no leader.
fn batch_delay(state: &HostState) -> Duration {
    if state.is_leader() {
        return MIN_BATCH_DELAY;
    }
    (BATCH_DELAY_PER_HOST * state.hosts()).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}

fn count_call(state: &HostState) {
    state.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
