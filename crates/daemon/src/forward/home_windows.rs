//! Idempotency keys for which this host is the home host.

use {
    super::ForwardPlan,
    crate::{context::RequestContext, maps::HeldMap},
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

/// Parts of a window, so that requests with different keys rarely share a lock.
const PARTS: usize = 16;

/// Windows and coverage of one service.
#[derive(Debug)]
struct ServiceWindows {
    coverage: Mutex<DedupCoverage>,
    parts: Vec<Mutex<IdWindow>>,
}

/// Windows by service; only requests with an idempotency key come here.
#[derive(Debug, Default)]
pub struct HomeWindows {
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceWindows>>>,
    changing: Mutex<()>,
}

impl HomeWindows {
    /// Follows a valid map; called at short intervals, so that a gap in validity is noticed.
    pub fn follow(&self, context: &RequestContext, held: &HeldMap) {
        let windows = self.windows(context, &held.map.service);
        let now = context.clock.now();
        lock(&windows.coverage).observe(&held.map, held.valid_until, now);
    }

    /// Since when this host has followed a service's maps without a gap.
    pub fn since(&self, service: &ServiceName) -> Option<BootTime> {
        let services = self.services.load();
        lock(&services.get(service)?.coverage).since()
    }

    /// Records the plan's idempotency key if it is new; otherwise says why it may not run.
    pub fn begin(
        &self,
        context: &RequestContext,
        held: &HeldMap,
        plan: &ForwardPlan,
    ) -> Result<Option<IdGuard>, ResultCode> {
        let Some(id) = &plan.envelope.idempotency else {
            return Ok(None);
        };
        let windows = self.windows(context, &plan.envelope.service);
        let now = context.clock.now();
        let covered = {
            let mut coverage = lock(&windows.coverage);
            coverage.observe(&held.map, held.valid_until, now);
            coverage.covers(plan.envelope.shard, id, now)
        };
        let verdict = lock(windows.part(id)).begin(id, covered, now);
        match verdict {
            IdVerdict::New => Ok(Some(IdGuard {
                windows,
                id: id.clone(),
                clock: context.clock,
                handed_over: plan.handed_over.clone(),
                ended: false,
            })),
            IdVerdict::Running => Err(ResultCode::RepeatOfRunning),
            IdVerdict::Ended(Execution::Ran) => Err(ResultCode::RepeatOfRan),
            IdVerdict::Ended(_) => Err(ResultCode::RepeatOfUnknown),
            IdVerdict::Unproved => Err(ResultCode::HomeChanged),
            IdVerdict::Full => Err(ResultCode::DedupFull),
        }
    }

    fn windows(&self, context: &RequestContext, service: &ServiceName) -> Arc<ServiceWindows> {
        if let Some(windows) = self.services.load().get(service) {
            return windows.clone();
        }
        let _changing = lock(&self.changing);
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
        let part = || {
            Mutex::new(IdWindow::new(
                tuning.dedup_window,
                tuning.dedup_ids.div_ceil(PARTS),
            ))
        };
        Self {
            coverage: Mutex::new(DedupCoverage::new(
                context.host.clone(),
                tuning.dedup_window,
                tuning.dedup_first_start,
            )),
            parts: std::iter::repeat_with(part).take(PARTS).collect(),
        }
    }

    fn part(&self, id: &str) -> &Mutex<IdWindow> {
        let count = u64::try_from(PARTS).unwrap_or(1);
        let index = usize::try_from(KeyHash::of(id.as_bytes()).0 % count).unwrap_or(0);
        &self.parts[index]
    }
}

/// A running idempotency key. Dropping it records what is known at that moment.
#[derive(Debug)]
pub struct IdGuard {
    windows: Arc<ServiceWindows>,
    id: String,
    clock: BootClock,
    handed_over: Arc<AtomicBool>,
    ended: bool,
}

impl IdGuard {
    /// Records how the request ended.
    pub fn end(mut self, execution: Execution) {
        self.record(execution);
    }

    fn record(&mut self, execution: Execution) {
        self.ended = true;
        lock(self.windows.part(&self.id)).end(&self.id, execution, self.clock.now());
    }
}

impl Drop for IdGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let execution = match self.handed_over.load(Relaxed) {
            true => Execution::MayHaveRun,
            false => Execution::NotRun,
        };
        self.record(execution);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
