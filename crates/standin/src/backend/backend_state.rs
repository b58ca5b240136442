//! State shared by the connections of a backend stand-in.

use {
    super::{
        BackendSettings, GrantInterval, grant_table::GrantTable, load_history::LoadHistory,
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
    /// Connections currently open.
    pub connections: u32,
    /// Highest number of connections open at the same time.
    pub peak_connections: u32,
    /// Connections closed because of the connection limit.
    pub refused_connections: u64,
    /// Requests currently running.
    pub in_flight: u32,
    /// Highest number of requests running at the same time.
    pub peak_in_flight: u32,
    /// Requests that ran to completion.
    pub completed: u64,
    /// Requests whose caller disconnected while they ran.
    pub cancelled: u64,
    /// Requests that were refused without being run.
    pub not_run: u64,
}

/// State protected by one lock.
#[derive(Debug)]
pub(super) struct BackendContent {
    /// Grants and fences by service.
    pub grant_tables: HashMap<String, GrantTable>,
    pub ledger: RunLedger,
    pub history: LoadHistory,
    pub stats: BackendStats,
    /// Number of running requests by service and shard.
    pub running: HashMap<(String, u32), u32>,
    /// Random id of the simulated process; changes on a restart.
    pub process: u64,
    pub started: BootTime,
}

#[derive(Debug)]
pub(super) struct BackendState {
    content: Mutex<BackendContent>,
    pub settings: watch::Sender<BackendSettings>,
    /// Notified whenever a request ends.
    pub run_ended: watch::Sender<()>,
}

impl BackendState {
    pub fn new(settings: BackendSettings) -> Self {
        let content = BackendContent {
            grant_tables: HashMap::new(),
            ledger: RunLedger::default(),
            history: LoadHistory::default(),
            stats: BackendStats::default(),
            running: HashMap::new(),
            process: new_process_id(),
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

    /// Current time on the server's own clock.
    pub fn clock(&self) -> ServerTime {
        ServerTime(BootClock.now().0 + self.settings.borrow().clock_offset_us)
    }

    /// Returns once the server is not frozen.
    pub async fn wait_while_frozen(&self) {
        let mut settings = self.settings.subscribe();
        // Fails only if the sender is dropped, and `self` owns the sender.
        let _ = settings.wait_for(|settings| !settings.frozen).await;
    }

    /// State that the server reports; settings can falsify the load.
    pub fn report(&self) -> ServerReport {
        let settings = self.settings();
        let content = self.lock();
        let lag = Duration::from_millis(settings.report_lag_ms);
        let true_load = if lag.is_zero() {
            content.stats.in_flight
        } else {
            content.history.in_flight_before(BootClock.now(), lag)
        };
        ServerReport {
            draining: settings.draining,
            in_flight: settings.false_load.unwrap_or(true_load),
            process: content.process,
        }
    }

    /// Simulates a restart: drops grants and fences and begins a cold start. The
    /// ledger, the counters and the log of grant intervals are kept.
    pub fn restart(&self) {
        let now = BootClock.now();
        let mut content = self.lock();
        for table in content.grant_tables.values_mut() {
            table.clear(now);
        }
        content.process = new_process_id();
        content.started = now;
    }

    pub fn intervals(&self, service: &str) -> Vec<GrantInterval> {
        let content = self.lock();
        let table = content.grant_tables.get(service);
        table.map(GrantTable::intervals).unwrap_or_default()
    }
}

fn new_process_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
