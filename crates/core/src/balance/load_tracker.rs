//! Load and failures of one server, as this host sees them.

use {
    crate::time::BootTime,
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// A reported load counts half after this time. Forwarders send a new report with every reply.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Half-life of the load added for a failure.
///
/// A server that fails fast has few requests in flight. Without this load it would look idle and
/// attract more requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Load added for one failure, in requests.
const FAILURE_LOAD: u64 = 4;

/// Number of consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 5;

/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the ejection time, which limits it to 32 s.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Time in which the weight of a new or returning server grows from a tenth to its full value.
const SLOW_START: Duration = Duration::from_secs(10);

/// One request or one unit of weight in fixed-point numbers: loads and weights are stored in
/// thousandths.
const LOAD_UNIT: u64 = 1_000;

/// Load of a server as reported by the host that forwards requests to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
}

/// Load and failures of one server, updated without locks.
///
/// The fields are not updated together: a reader may see some old and some new values. That only
/// makes a single choice of server slightly worse.
#[derive(Debug, Default)]
pub struct LoadTracker {
    local_in_flight: AtomicU32,
    reported_load: AtomicU32,
    reported_at: AtomicU64,
    failure_load: AtomicU64,
    failed_at: AtomicU64,
    consecutive_failures: AtomicU32,
    consecutive_ejections: AtomicU32,
    ejected_until: AtomicU64,
    /// Start of the current or last slow start.
    started_at: AtomicU64,
}

impl LoadTracker {
    /// Creates a tracker for a server that is first seen ready at `now`; its slow start begins then.
    pub fn new(now: BootTime) -> Self {
        let tracker = Self::default();
        tracker.started_at.store(now.0, Relaxed);
        tracker
    }

    /// Counts a request sent by this host.
    pub fn begin(&self) {
        self.local_in_flight.fetch_add(1, Relaxed);
    }

    /// Counts the end of a request sent by this host.
    pub fn end(&self) {
        self.local_in_flight.fetch_sub(1, Relaxed);
    }

    /// Replaces the reported load.
    pub fn report(&self, report: LoadReport, now: BootTime) {
        let total = report.in_flight.saturating_add(report.queued);
        self.reported_load.store(total, Relaxed);
        self.reported_at.store(now.0, Relaxed);
    }

    /// Records a success, which resets the counts of consecutive failures and ejections.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Relaxed);
        self.consecutive_ejections.store(0, Relaxed);
    }

    /// Records a failure. Ejects the server after `EJECTION_FAILURES` of them in a row.
    pub fn record_failure(&self, now: BootTime) {
        self.add_failure_load(now);
        let consecutive_failures = self.consecutive_failures.fetch_add(1, Relaxed) + 1;
        if consecutive_failures < EJECTION_FAILURES || self.is_ejected(now) {
            return;
        }
        let doublings = self
            .consecutive_ejections
            .fetch_add(1, Relaxed)
            .min(MAX_EJECTION_DOUBLINGS);
        let until = now + FIRST_EJECTION * (1 << doublings);
        self.ejected_until.store(until.0, Relaxed);
        self.started_at.store(until.0, Relaxed);
    }

    /// Records that the server shed a request. This adds load like a failure but never ejects: the
    /// server is busy, not broken.
    pub fn record_shed(&self, now: BootTime) {
        self.add_failure_load(now);
    }

    /// Whether the server is ejected at `now`.
    pub fn is_ejected(&self, now: BootTime) -> bool {
        now.0 < self.ejected_until.load(Relaxed)
    }

    /// Load in thousandths of a request: requests in flight and queued, plus the load added for
    /// recent failures.
    ///
    /// Uses the larger of this host's own requests in flight and the decayed report, since a host
    /// knows its own requests before any report includes them.
    pub fn load(&self, now: BootTime) -> u64 {
        let local_in_flight = u64::from(self.local_in_flight.load(Relaxed)) * LOAD_UNIT;
        let reported_load = u64::from(self.reported_load.load(Relaxed)) * LOAD_UNIT;
        let age = now.since(BootTime(self.reported_at.load(Relaxed)));
        let decayed = decay(reported_load, age, REPORT_HALF_LIFE);
        local_in_flight.max(decayed) + self.current_failure_load(now)
    }

    /// `weight` in thousandths, reduced during the slow start.
    pub fn weight(&self, weight: u32, now: BootTime) -> u64 {
        let full = u64::from(weight.max(1)) * LOAD_UNIT;
        let age = now.since(BootTime(self.started_at.load(Relaxed)));
        if age >= SLOW_START {
            return full;
        }
        let share = 100 + 900 * age.as_millis() / SLOW_START.as_millis();
        full * u64::try_from(share).unwrap_or(LOAD_UNIT) / LOAD_UNIT
    }

    fn current_failure_load(&self, now: BootTime) -> u64 {
        let age = now.since(BootTime(self.failed_at.load(Relaxed)));
        decay(self.failure_load.load(Relaxed), age, FAILURE_HALF_LIFE)
    }

    fn add_failure_load(&self, now: BootTime) {
        let load = self.current_failure_load(now) + FAILURE_LOAD * LOAD_UNIT;
        self.failure_load.store(load, Relaxed);
        self.failed_at.store(now.0, Relaxed);
    }
}

/// Halves `value` for each half-life that has passed; linear in between.
fn decay(value: u64, age: Duration, half_life: Duration) -> u64 {
    let halvings = age.as_micros() / half_life.as_micros();
    let Ok(halvings) = u32::try_from(halvings) else {
        return 0;
    };
    let Some(halved) = value.checked_shr(halvings) else {
        return 0;
    };
    let remainder = age.as_micros() % half_life.as_micros();
    let lost = u128::from(halved) * remainder / (2 * half_life.as_micros());
    halved - u64::try_from(lost).unwrap_or(halved)
}
