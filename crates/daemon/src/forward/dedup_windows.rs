//! Deduplication windows: the idempotency keys of which this host is the home host.

use {
    super::ForwardPlan,
    crate::{context::RequestContext, maps::TimedMap},
    arc_swap::ArcSwap,
    camphorcove_core::{
        dedup::{DedupCoverage, IdVerdict, IdWindow},
        ids::ServiceName,
        keys::KeyHash,
        outcome::{Execution, ResultCode},
        time::BootTime,
    },
    camphorcove_net::clock::BootClock,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
    },
};

/// Number of locks over which the keys of a service are spread, so that requests with
/// different keys rarely share a lock.
const STRIPES: usize = 16;

/// Deduplication state of one service.
#[derive(Debug)]
struct ServiceWindows {
    /// Tracks for which keys this host has seen every request of the window.
    coverage: Mutex<DedupCoverage>,
    /// Recorded keys; the hash of a key selects the stripe.
    stripes: Vec<Mutex<IdWindow>>,
}

/// Deduplication state by service, used only by requests with an idempotency key.
#[derive(Debug, Default)]
pub struct DedupWindows {
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceWindows>>>,
    /// Held while `services` is replaced.
    update_lock: Mutex<()>,
}

impl DedupWindows {
    /// Updates the coverage from a valid map.
    ///
    /// Must be called at short intervals, so that a gap in the map's validity is noticed.
    pub fn reconcile(&self, context: &RequestContext, timed_map: &TimedMap) {
        let windows = self.windows(context, &timed_map.map.service);
        let now = context.clock.now();
        lock(&windows.coverage).observe(&timed_map.map, timed_map.valid_until, now);
    }

    /// Start of the period over which this host has seen a service's maps without a gap.
    pub fn since(&self, service: &ServiceName) -> Option<BootTime> {
        let services = self.services.load();
        lock(&services.get(service)?.coverage).since()
    }

    /// Records the plan's idempotency key if it is new; otherwise returns why the request may not
    /// run. Returns `None` if the plan has no key.
    pub fn begin(
        &self,
        context: &RequestContext,
        timed_map: &TimedMap,
        plan: &ForwardPlan,
    ) -> Result<Option<IdGuard>, ResultCode> {
        let Some(id) = &plan.envelope.idempotency_key else {
            return Ok(None);
        };
        let windows = self.windows(context, &plan.envelope.service);
        let now = context.clock.now();
        let covered = {
            let mut coverage = lock(&windows.coverage);
            coverage.observe(&timed_map.map, timed_map.valid_until, now);
            coverage.covers(plan.envelope.shard, id, now)
        };
        let verdict = lock(windows.stripe(id)).begin(id, covered, now);
        match verdict {
            IdVerdict::New => Ok(Some(IdGuard {
                windows,
                id: id.clone(),
                clock: context.clock,
                maybe_sent: plan.maybe_sent.clone(),
                ended: false,
            })),
            IdVerdict::Running => Err(ResultCode::RepeatOfRunning),
            IdVerdict::Ended(Execution::Ran) => Err(ResultCode::RepeatOfRan),
            IdVerdict::Ended(_) => Err(ResultCode::RepeatOfUnknown),
            IdVerdict::NotCovered => Err(ResultCode::HomeChanged),
            IdVerdict::Full => Err(ResultCode::DedupFull),
        }
    }

    /// State of a service, created on first use.
    fn windows(&self, context: &RequestContext, service: &ServiceName) -> Arc<ServiceWindows> {
        if let Some(windows) = self.services.load().get(service) {
            return windows.clone();
        }
        let _update_lock = lock(&self.update_lock);
        let mut services = HashMap::clone(&self.services.load());
        let windows = services
            .entry(service.clone())
            .or_insert_with(|| Arc::new(ServiceWindows::new(context)))
            .clone();
        self.services.store(Arc::new(services));
        windows
    }
}

impl ServiceWindows {
    fn new(context: &RequestContext) -> Self {
        let tuning = context.tuning;
        let stripe = || {
            Mutex::new(IdWindow::new(
                tuning.dedup_window,
                tuning.dedup_keys.div_ceil(STRIPES),
            ))
        };
        Self {
            coverage: Mutex::new(DedupCoverage::new(
                context.host.clone(),
                tuning.dedup_window,
                tuning.dedup_assume_no_history,
            )),
            stripes: std::iter::repeat_with(stripe).take(STRIPES).collect(),
        }
    }

    fn stripe(&self, id: &str) -> &Mutex<IdWindow> {
        let count = u64::try_from(STRIPES).unwrap_or(1);
        let index = usize::try_from(KeyHash::of(id.as_bytes()).0 % count).unwrap_or(0);
        &self.stripes[index]
    }
}

/// Records the outcome of a request under its idempotency key.
///
/// If it is dropped before [`end`](Self::end), the outcome is "may have run" once the request
/// has been handed to a server or another host, and "not run" before.
#[derive(Debug)]
pub struct IdGuard {
    windows: Arc<ServiceWindows>,
    id: String,
    clock: BootClock,
    maybe_sent: Arc<AtomicBool>,
    ended: bool,
}

impl IdGuard {
    /// Records whether the request ran.
    pub fn end(mut self, execution: Execution) {
        self.record(execution);
    }

    fn record(&mut self, execution: Execution) {
        self.ended = true;
        lock(self.windows.stripe(&self.id)).end(&self.id, execution, self.clock.now());
    }
}

impl Drop for IdGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let execution = match self.maybe_sent.load(Relaxed) {
            true => Execution::MayHaveRun,
            false => Execution::NotRun,
        };
        self.record(execution);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
