//! Requests that wait at this host until a request at their server ends.

use {
    super::{HostState, PickQuery},
    camphorcove_core::{
        dispatch::{ReturnTarget, WaitQueue, WaitTicket},
        ids::ServerId,
        ownership::OwnerLookup,
        time::BootTime,
    },
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Upper bounds of the buckets of the waiting times, in milliseconds; the longest waits take 0.15 of a
/// target latency.
pub const WAIT_BUCKETS_MS: [u64; 7] = [5, 10, 25, 50, 100, 250, 1_000];

/// Waiting requests, and how long earlier ones have waited.
#[derive(Debug, Default)]
pub(super) struct SlotWaits {
    queue: WaitQueue,
    wakers: HashMap<WaitTicket, Arc<SlotWaker>>,
    /// Waits by bucket; the last count is of those longer than all bounds.
    buckets: [u64; WAIT_BUCKETS_MS.len() + 1],
    total: Duration,
}

#[derive(Debug, Default)]
struct SlotWaker {
    woken: Notify,
    /// The wait is over: the owners, the configuration or the state of the host have changed.
    is_over: AtomicBool,
}

/// Place of a request in the queue of its host; left on drop.
#[derive(Debug)]
pub struct SlotWait {
    state: Arc<HostState>,
    ticket: WaitTicket,
    waker: Arc<SlotWaker>,
    started: BootTime,
    ends_at: BootTime,
}

/// Durations of the waits so far.
#[derive(Clone, Debug)]
pub struct WaitTimes {
    /// Waits by bucket of [`WAIT_BUCKETS_MS`]; the last count is of those longer than all bounds.
    pub buckets: [u64; WAIT_BUCKETS_MS.len() + 1],
    /// Sum of all waits.
    pub total: Duration,
}

impl SlotWaits {
    fn wake_next(&mut self, target: &ReturnTarget) {
        let waker = self
            .queue
            .wake_next(target)
            .and_then(|ticket| self.wakers.get(&ticket));
        if let Some(waker) = waker {
            waker.woken.notify_one();
        }
    }

    pub(super) fn end_all(&self) {
        for waker in self.wakers.values() {
            waker.is_over.store(true, Ordering::Relaxed);
            waker.woken.notify_one();
        }
    }

    /// Wakes the request that is to try next, as a request at the server has ended.
    pub(super) fn record_free_slot(&mut self, owner: &ServerId) {
        if !self.queue.is_empty() {
            self.wake_next(&ReturnTarget::Owner(owner.clone()));
        }
    }

    /// Wakes all requests, the most urgent ones first, as the load of all servers is known anew.
    pub(super) fn wake_all(&mut self) {
        for ticket in self.queue.wake_all() {
            if let Some(waker) = self.wakers.get(&ticket) {
                waker.woken.notify_one();
            }
        }
    }
}

impl HostState {
    /// Lets a request that was refused as overloaded wait for room; `None` if it would wait too long or
    /// too many wait. `bytes` is the size of its body.
    pub fn begin_slot_wait(
        self: &Arc<Self>,
        query: PickQuery<'_>,
        bytes: usize,
    ) -> Option<SlotWait> {
        if !query.plans_returns || self.is_stopping() {
            return None;
        }
        let now = self.now();
        let mut inner = self.lock();
        let OwnerLookup::Owner(owner) = inner.owners.lookup(query.service, query.key?) else {
            return None;
        };
        let reading = inner.gauges.get(&owner.id)?.read(now);
        let longest = query.rule.longest_wait(reading);
        if longest.is_zero() {
            return None;
        }
        let target = ReturnTarget::Owner(owner.id);
        let waits = &mut inner.admission.slot_waits;
        let ticket = waits.queue.enter(target, query.rank, bytes)?;
        let waker = Arc::new(SlotWaker::default());
        waits.wakers.insert(ticket, waker.clone());
        Some(SlotWait {
            state: self.clone(),
            ticket,
            waker,
            started: now,
            ends_at: now + longest,
        })
    }

    /// Ends all waits, as what they wait for may have changed.
    pub fn end_slot_waits(&self) {
        self.lock().admission.slot_waits.end_all();
    }

    /// Number of requests that wait.
    pub fn waiting_requests(&self) -> usize {
        self.lock().admission.slot_waits.queue.len()
    }

    /// Durations of the waits so far.
    pub fn wait_times(&self) -> WaitTimes {
        let inner = self.lock();
        let waits = &inner.admission.slot_waits;
        WaitTimes {
            buckets: waits.buckets,
            total: waits.total,
        }
    }
}

impl SlotWait {
    fn wait_on(&self) {
        let mut inner = self.state.lock();
        inner.admission.slot_waits.queue.wait_on(self.ticket);
    }

    /// Waits until the request is to try again; `false` if the wait has ended.
    pub async fn woken(&self) -> bool {
        let left = self.ends_at.since(self.state.now());
        if left.is_zero() || self.waker.is_over.load(Ordering::Relaxed) {
            return false;
        }
        self.wait_on();
        timeout(left, self.waker.woken.notified()).await.is_ok()
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        let waited = self.state.now().since(self.started);
        let mut inner = self.state.lock();
        let waits = &mut inner.admission.slot_waits;
        waits.queue.leave(self.ticket);
        waits.wakers.remove(&self.ticket);
        let millis = waited.as_millis();
        let bucket = WAIT_BUCKETS_MS
            .iter()
            .position(|bound| millis <= u128::from(*bound));
        waits.buckets[bucket.unwrap_or(WAIT_BUCKETS_MS.len())] += 1;
        waits.total += waited;
    }
}
