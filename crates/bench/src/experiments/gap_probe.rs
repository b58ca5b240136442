//! How long keys are unavailable, as callers see it.

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

/// Longest time between two good answers for a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyGap {
    last_good: Instant,
    worst: Duration,
}

impl KeyGap {
    /// Gap that starts at `now`.
    pub fn start(now: Instant) -> Self {
        Self {
            last_good: now,
            worst: Duration::ZERO,
        }
    }

    /// Notes a good answer. Answers of slow requests may be noted late.
    pub fn good(&mut self, at: Instant) {
        self.worst = self.worst.max(at.saturating_duration_since(self.last_good));
        self.last_good = self.last_good.max(at);
    }

    /// Longest gap up to `now`, the current one included.
    pub fn worst(&self, now: Instant) -> Duration {
        let current = now.saturating_duration_since(self.last_good);
        self.worst.max(current)
    }
}

/// Sends a request for each key at a fixed interval, without waiting for
/// earlier ones, and notes the gaps between good answers.
#[derive(Debug)]
pub struct GapProbe {
    gaps: Arc<Mutex<Vec<KeyGap>>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl GapProbe {
    /// Starts probing the targets through the entries in turn.
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
            turn: AtomicUsize::new(0),
        };
        let task = tokio::spawn(prober.run(targets, spacing));
        Self {
            gaps,
            entries,
            task,
        }
    }

    /// Replaces the entries, as a load balancer does when a host is lost.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Longest gap of each key since the last call; starts new gaps.
    pub fn take_gaps(&self) -> Vec<Duration> {
        let now = Instant::now();
        let mut gaps = self.gaps.lock().unwrap_or_else(PoisonError::into_inner);
        let worst = gaps.iter().map(|gap| gap.worst(now)).collect();
        for gap in gaps.iter_mut() {
            gap.worst = Duration::ZERO;
        }
        worst
    }
}

impl Drop for GapProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Prober {
    gaps: Arc<Mutex<Vec<KeyGap>>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    caller: Caller,
    turn: AtomicUsize,
}

impl Prober {
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

    async fn probe(self: Arc<Self>, key: usize, target: String) {
        let Some(entry) = self.next_entry() else {
            return;
        };
        let outcome = self.caller.get(entry, &target).await;
        if outcome.is_good() {
            let mut gaps = self.gaps.lock().unwrap_or_else(PoisonError::into_inner);
            gaps[key].good(Instant::now());
        }
    }

    fn next_entry(&self) -> Option<SocketAddr> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let index = turn.checked_rem(entries.len())?;
        entries.get(index).copied()
    }
}
