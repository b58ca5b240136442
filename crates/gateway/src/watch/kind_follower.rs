//! Lists a kind, then watches it; lists again when the history is gone or when other
//! hosts have seen more.

use {
    crate::state::{HostState, StoreKind},
    camphorcove_platform::{
        ObjectListing, StoreClient, StoreFault, StoredObject, WatchAnswer, WatchEvent,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Wait of a watch without changes. Every answer is a paid call, and a connection
/// that went silent shows by the marks of other hosts.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time beyond the wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Longest wait for a list: the store may be some sixty times slower than usual.
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// First and longest pause after a failed call.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Time for which a watch may lag behind other hosts before the kind is listed.
const LAG_LIMIT: Duration = Duration::from_millis(250);

/// Pause after changes for each host, so that changes in quick succession come with one
/// paid call, and the calls of all hosts together stay bounded.
const GATHER_PER_HOST: Duration = Duration::from_millis(12);

/// Shortest and longest such pause; a change has to be in force within 2 s.
const GATHER_LEAST: Duration = Duration::from_millis(120);
const GATHER_MOST: Duration = Duration::from_millis(500);

/// What happened to the objects of a kind.
#[derive(Debug)]
pub enum KindChange {
    /// All objects there are.
    Listed(Vec<StoredObject>),
    /// One object is new or has changed.
    Changed(StoredObject),
    /// One object is gone.
    Removed(StoredObject),
}

/// Takes the changes of one kind.
pub trait KindFollower: Send + 'static {
    /// Kind as the host's marks name it.
    const MARK: StoreKind;
    /// Kind as the store names it.
    const KIND: &'static str;

    /// Takes changes, in order.
    fn take(&mut self, changes: Vec<KindChange>);
}

/// Why a watch ended.
enum WatchEnd {
    Fault(StoreFault),
    Behind,
}

/// Follows a kind for ever.
pub async fn follow<F: KindFollower>(state: Arc<HostState>, store: StoreClient, mut follower: F) {
    let mut pause = PAUSE_FIRST;
    let mut lost = false;
    loop {
        state.counters.store_calls.fetch_add(1, Ordering::Relaxed);
        match store.list(F::KIND, LIST_LIMIT).await {
            Ok(listing) => {
                if lost {
                    log::info!(kind = F::KIND, revision = listing.revision; "store regained");
                    state.note_store_returned();
                    lost = false;
                }
                pause = PAUSE_FIRST;
                let end = watch(&state, &store, &mut follower, listing).await;
                match end {
                    WatchEnd::Behind => {
                        log::info!(kind = F::KIND; "watch is behind other hosts, listing anew");
                    }
                    WatchEnd::Fault(fault) => {
                        log::info!(kind = F::KIND, reason:% = fault; "watch ended, listing anew");
                    }
                }
            }
            Err(fault) => {
                if !lost {
                    log::warn!(kind = F::KIND, reason:% = fault; "store lost");
                    lost = true;
                }
                sleep(pause.mul_f64(0.5 + state.draw())).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}

async fn watch<F: KindFollower>(
    state: &HostState,
    store: &StoreClient,
    follower: &mut F,
    listing: ObjectListing,
) -> WatchEnd {
    let mut revision = listing.revision;
    let newest = listing.objects.iter().map(|object| object.revision).max();
    follower.take(vec![KindChange::Listed(listing.objects)]);
    state.note_seen(F::MARK, revision, newest.unwrap_or_default());
    loop {
        state.counters.store_calls.fetch_add(1, Ordering::Relaxed);
        let limit = WATCH_WAIT + WATCH_SLACK;
        let answer = tokio::select! {
            answer = store.watch(F::KIND, revision, WATCH_WAIT, limit) => answer,
            () = overtaken(state, F::MARK) => return WatchEnd::Behind,
        };
        match answer {
            Ok(WatchAnswer {
                events,
                revision: next,
            }) => {
                let mut changes = Vec::with_capacity(events.len());
                let mut newest = 0;
                for event in events {
                    changes.push(match event {
                        WatchEvent::Changed(object) => {
                            newest = newest.max(object.revision);
                            KindChange::Changed(object)
                        }
                        WatchEvent::Removed(object) => {
                            newest = newest.max(object.revision);
                            KindChange::Removed(object)
                        }
                    });
                }
                let changed = !changes.is_empty();
                if changed {
                    follower.take(changes);
                }
                revision = next.max(revision);
                state.note_seen(F::MARK, revision, newest);
                if changed {
                    let pause = GATHER_PER_HOST * state.hosts();
                    sleep(pause.clamp(GATHER_LEAST, GATHER_MOST)).await;
                }
            }
            Err(fault) => return WatchEnd::Fault(fault),
        }
    }
}

/// Completes when other hosts have seen a change that this one still has not.
async fn overtaken(state: &HostState, kind: StoreKind) {
    loop {
        let changed = state.marks_changed.notified();
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
