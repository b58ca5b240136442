//! What a host knows about one server's load and failures.

use {
    crate::time::BootTime,
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// A report loses half its weight in this time; forwarders report with every reply.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// A failure counts as a request in flight that fades with this half-life, so a
/// server that fails fast looks as busy as one that is slow.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Requests in flight that one failure stands for.
const FAILURE_LOAD: u64 = 4;

/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 5;

/// Length of the first ejection; doubles with each further one.
const EJECT_FIRST: Duration = Duration::from_secs(1);

/// Doublings of the ejection time: at most 32 s.
const EJECT_DOUBLINGS: u32 = 5;

/// Time in which a new or returning server's share grows from a tenth to whole.
const SLOW_START: Duration = Duration::from_secs(10);

/// Fixed-point unit of loads.
const UNIT: u64 = 1_000;

/// Load of a server as its forwarder reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests holding a slot.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// Load and failures of one server, updated without locks.
///
/// Each field stands alone: a reader may see a mix of two updates, which only
/// makes one choice slightly worse.
#[derive(Debug, Default)]
pub struct LoadTracker {
    local: AtomicU32,
    reported: AtomicU32,
    reported_at: AtomicU64,
    failure_load: AtomicU64,
    failed_at: AtomicU64,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    started_at: AtomicU64,
}

impl LoadTracker {
    /// Tracker of a server first seen ready at `now`.
    pub fn new(now: BootTime) -> Self {
        let tracker = Self::default();
        tracker.started_at.store(now.0, Relaxed);
        tracker
    }

    /// Counts a request sent by this host.
    pub fn begin(&self) {
        self.local.fetch_add(1, Relaxed);
    }

    /// Counts the end of a request sent by this host.
    pub fn end(&self) {
        self.local.fetch_sub(1, Relaxed);
    }

    /// Takes over a forwarder's report.
    pub fn report(&self, report: LoadReport, now: BootTime) {
        let total = report.in_flight.saturating_add(report.queued);
        self.reported.store(total, Relaxed);
        self.reported_at.store(now.0, Relaxed);
    }

    /// Notes a success.
    pub fn succeed(&self) {
        self.failures.store(0, Relaxed);
        self.ejections.store(0, Relaxed);
    }

    /// Notes a failure that may lead to an ejection.
    pub fn fail(&self, now: BootTime) {
        self.add_failure_load(now);
        let failures = self.failures.fetch_add(1, Relaxed) + 1;
        if failures < EJECT_AFTER || self.ejected(now) {
            return;
        }
        let count = self.ejections.fetch_add(1, Relaxed).min(EJECT_DOUBLINGS);
        let until = now + EJECT_FIRST * (1 << count);
        self.ejected_until.store(until.0, Relaxed);
        self.started_at.store(until.0, Relaxed);
    }

    /// Notes that the server shed a request: busy, but not broken.
    pub fn shed(&self, now: BootTime) {
        self.add_failure_load(now);
    }

    /// Whether the server is ejected at `now`.
    pub fn ejected(&self, now: BootTime) -> bool {
        now.0 < self.ejected_until.load(Relaxed)
    }

    /// Load in thousandths of a request: (in flight + queue), with failures as slow requests.
    pub fn load(&self, now: BootTime) -> u64 {
        let local = u64::from(self.local.load(Relaxed)) * UNIT;
        let reported = u64::from(self.reported.load(Relaxed)) * UNIT;
        let age = now.since(BootTime(self.reported_at.load(Relaxed)));
        let aged = fade(reported, age, REPORT_HALF_LIFE);
        local.max(aged) + self.current_failure_load(now)
    }

    /// Weight in thousandths, reduced during the slow start.
    pub fn weight(&self, weight: u32, now: BootTime) -> u64 {
        let full = u64::from(weight.max(1)) * UNIT;
        let age = now.since(BootTime(self.started_at.load(Relaxed)));
        if age >= SLOW_START {
            return full;
        }
        let share = 100 + 900 * age.as_millis() / SLOW_START.as_millis();
        full * u64::try_from(share).unwrap_or(UNIT) / UNIT
    }

    fn current_failure_load(&self, now: BootTime) -> u64 {
        let age = now.since(BootTime(self.failed_at.load(Relaxed)));
        fade(self.failure_load.load(Relaxed), age, FAILURE_HALF_LIFE)
    }

    fn add_failure_load(&self, now: BootTime) {
        let load = self.current_failure_load(now) + FAILURE_LOAD * UNIT;
        self.failure_load.store(load, Relaxed);
        self.failed_at.store(now.0, Relaxed);
    }
}

/// Halves `value` for each half-life passed, linear in between.
fn fade(value: u64, age: Duration, half_life: Duration) -> u64 {
    let halvings = age.as_micros() / half_life.as_micros();
    let Ok(halvings) = u32::try_from(halvings) else {
        return 0;
    };
    let Some(halved) = value.checked_shr(halvings) else {
        return 0;
    };
    let rest = age.as_micros() % half_life.as_micros();
    let lost = u128::from(halved) * rest / (2 * half_life.as_micros());
    halved - u64::try_from(lost).unwrap_or(halved)
}
