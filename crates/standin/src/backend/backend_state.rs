//! State shared by a backend stand-in's connections.

use {
    super::{
        BackendSettings, GrantInterval, grant_book::GrantBook, report_history::ReportHistory,
        run_ledger::RunLedger,
    },
    camphorcove_core::{control::ServerReport, time::BootTime},
    camphorcove_net::{clock::BootClock, servers::ServerTime},
    std::{
        collections::HashMap,
        hash::{BuildHasher, Hasher, RandomState},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Counters of a backend stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BackendStats {
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub peak_connections: u32,
    /// Connections closed because of the cap.
    pub refused_connections: u64,
    /// Requests running now.
    pub in_flight: u32,
    /// Most requests running at once.
    pub peak_in_flight: u32,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests whose caller went away while they ran.
    pub cancelled: u64,
    /// Requests refused as not run.
    pub not_run: u64,
}

/// Content that one lock protects.
#[derive(Debug)]
pub(super) struct BackendContent {
    pub books: HashMap<String, GrantBook>,
    pub ledger: RunLedger,
    pub history: ReportHistory,
    pub stats: BackendStats,
    /// Running requests by service and shard.
    pub running: HashMap<(String, u32), u32>,
    /// Changes with a restart.
    pub process: u64,
    pub started: BootTime,
}

#[derive(Debug)]
pub(super) struct BackendState {
    content: Mutex<BackendContent>,
    pub settings: watch::Sender<BackendSettings>,
    /// Signals the end of a run.
    pub run_ended: watch::Sender<()>,
}

impl BackendState {
    pub fn new(settings: BackendSettings) -> Self {
        let content = BackendContent {
            books: HashMap::new(),
            ledger: RunLedger::default(),
            history: ReportHistory::default(),
            stats: BackendStats::default(),
            running: HashMap::new(),
            process: new_process(),
            started: BootClock.now(),
        };
        Self {
            content: Mutex::new(content),
            settings: watch::Sender::new(settings),
            run_ended: watch::Sender::new(()),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, BackendContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn settings(&self) -> BackendSettings {
        self.settings.borrow().clone()
    }

    /// Its own clock.
    pub fn clock(&self) -> ServerTime {
        ServerTime(BootClock.now().0 + self.settings.borrow().clock_offset_us)
    }

    /// Waits while the server is frozen.
    pub async fn thawed(&self) {
        let mut settings = self.settings.subscribe();
        // Fails only if the sender is gone, which `self` owns.
        let _ = settings.wait_for(|settings| !settings.frozen).await;
    }

    /// What it says of itself, true or not.
    pub fn report(&self) -> ServerReport {
        let settings = self.settings();
        let content = self.lock();
        let lag = Duration::from_millis(settings.report_lag_ms);
        let true_load = if lag.is_zero() {
            content.stats.in_flight
        } else {
            content.history.shown(BootClock.now(), lag)
        };
        ServerReport {
            draining: settings.draining,
            in_flight: settings.false_load.unwrap_or(true_load),
            process: content.process,
        }
    }

    /// Forgets grants and fences and starts cold, as a new process does. The
    /// ledger, counters and interval log stay.
    pub fn restart(&self) {
        let now = BootClock.now();
        let mut content = self.lock();
        for book in content.books.values_mut() {
            book.forget(now);
        }
        content.process = new_process();
        content.started = now;
    }

    pub fn intervals(&self, service: &str) -> Vec<GrantInterval> {
        let content = self.lock();
        let book = content.books.get(service);
        book.map(GrantBook::intervals).unwrap_or_default()
    }
}

fn new_process() -> u64 {
    RandomState::new().build_hasher().finish()
}
