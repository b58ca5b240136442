//! Probes how long keys are unavailable to callers.

use {
    crate::load::Caller,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinHandle,
        time::{MissedTickBehavior, interval},
    },
};

/// Tracks the longest time between two good answers for a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyGap {
    last_good: Instant,
    longest: Duration,
}

impl KeyGap {
    /// Starts tracking at `now`, as if a good answer had arrived.
    pub fn start(now: Instant) -> Self {
        Self {
            last_good: now,
            longest: Duration::ZERO,
        }
    }

    /// Records a good answer that arrived at `at`. Answers may be recorded out of order.
    pub fn record_good_answer(&mut self, at: Instant) {
        self.longest = self
            .longest
            .max(at.saturating_duration_since(self.last_good));
        self.last_good = self.last_good.max(at);
    }

    /// Returns the longest gap up to `now`, including the one that has not ended yet.
    pub fn longest(&self, now: Instant) -> Duration {
        let current = now.saturating_duration_since(self.last_good);
        self.longest.max(current)
    }
}

/// Background task that sends a request for each key at a fixed interval, without waiting
/// for earlier ones, and records the gaps between good answers. Stops when dropped.
#[derive(Debug)]
pub struct GapProbe {
    /// Gap of each target, in the order given to [`GapProbe::start`].
    gaps: Arc<Mutex<Vec<KeyGap>>>,
    /// Addresses where hosts accept callers.
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl GapProbe {
    /// Starts probing each target (path of a key) every `spacing`, with the requests sent to
    /// the hosts at `entries` in turn.
    pub fn start(
        entries: Vec<SocketAddr>,
        targets: Vec<String>,
        spacing: Duration,
        timeout: Duration,
    ) -> Self {
        let gaps = vec![KeyGap::start(Instant::now()); targets.len()];
        let gaps = Arc::new(Mutex::new(gaps));
        let entries = Arc::new(Mutex::new(entries));
        let prober = Prober {
            gaps: gaps.clone(),
            entries: entries.clone(),
            caller: Caller::new(targets.len(), timeout),
            probe_counter: AtomicUsize::new(0),
        };
        let task = tokio::spawn(prober.run(targets, spacing));
        Self {
            gaps,
            entries,
            task,
        }
    }

    /// Replaces the hosts that requests are sent to, as a load balancer does when a host is
    /// lost.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Returns the longest gap of each key since the last call. A gap that has not ended yet
    /// is counted again, in full, by the next call.
    pub fn take_gaps(&self) -> Vec<Duration> {
        let now = Instant::now();
        let mut gaps = self.gaps.lock().unwrap_or_else(PoisonError::into_inner);
        let longest = gaps.iter().map(|gap| gap.longest(now)).collect();
        for gap in gaps.iter_mut() {
            gap.longest = Duration::ZERO;
        }
        longest
    }
}

impl Drop for GapProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// State of the background task.
struct Prober {
    gaps: Arc<Mutex<Vec<KeyGap>>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    caller: Caller,
    /// Number of probes so far; selects the next entry.
    probe_counter: AtomicUsize,
}

impl Prober {
    /// Starts a probe of every target each `spacing`, until the task is aborted.
    async fn run(self, targets: Vec<String>, spacing: Duration) {
        let prober = Arc::new(self);
        let mut ticks = interval(spacing);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            for (key, target) in targets.iter().enumerate() {
                tokio::spawn(prober.clone().probe(key, target.clone()));
            }
        }
    }

    /// Sends one request and records its answer if it is good.
    async fn probe(self: Arc<Self>, key: usize, target: String) {
        let Some(entry) = self.next_entry() else {
            return;
        };
        let outcome = self.caller.get(entry, &target).await;
        if outcome.is_good() {
            let mut gaps = self.gaps.lock().unwrap_or_else(PoisonError::into_inner);
            gaps[key].record_good_answer(Instant::now());
        }
    }

    /// Returns the next host's address; `None` if there are no hosts.
    fn next_entry(&self) -> Option<SocketAddr> {
        let probe_counter = self.probe_counter.fetch_add(1, Ordering::Relaxed);
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let index = probe_counter.checked_rem(entries.len())?;
        entries.get(index).copied()
    }
}
