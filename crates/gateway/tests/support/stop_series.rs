//! Signals, restarts and changes that come in series and overlap.

use {
    super::{soak_host::SoakHost, soak_servers::SoakServers},
    camphorcove_platform_standin::{owning_server::OwnershipLedger, store_standin::StoreStandin},
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Longest pauses between the events of a series, in milliseconds: shorter than a planned stop and
/// than a takeover, so that the events overlap.
const RESTART_PAUSE_MS: u64 = 800;
const CHANGE_PAUSE_MS: u64 = 300;

/// Time for which a host is frozen, in milliseconds.
const FREEZE_MS: std::ops::Range<u64> = 500..3_500;

/// What a series needs of the run.
#[derive(Clone)]
pub struct StopContext {
    pub hosts: Vec<Arc<SoakHost>>,
    pub servers: SoakServers,
    pub store: StoreStandin,
    pub ownership_ledger: OwnershipLedger,
    /// Version of the latest configuration.
    pub config_version: Arc<AtomicU64>,
    /// Configuration with a version.
    pub config: fn(u64) -> serde_json::Value,
}

impl StopContext {
    /// Runs a random series, which may overlap with other faults.
    pub async fn run_series(self, mut random: ChaCha8Rng) {
        let hosts = self.hosts.len();
        let first = random.random_range(0..hosts);
        let second = (first + random.random_range(1..hosts)) % hosts;
        match random.random_range(0..6) {
            0 => self.stop_beside_frozen(first, second, &mut random).await,
            1 => self.stop_twice(first, &mut random).await,
            2 => self.restart_repeatedly(first, &mut random).await,
            3 => self.restart_all(&mut random).await,
            4 => self.change_repeatedly(&mut random).await,
            _ => {
                let changes = self.clone();
                let changes_random = ChaCha8Rng::seed_from_u64(random.random());
                let changing = tokio::spawn(async move {
                    let mut random = changes_random;
                    changes.change_repeatedly(&mut random).await;
                });
                self.restart_all(&mut random).await;
                changing.await.expect("changes end");
            }
        }
    }

    /// Stops a host while another one is frozen, or has just started.
    async fn stop_beside_frozen(&self, frozen: usize, stopped: usize, random: &mut ChaCha8Rng) {
        let freezing = self.hosts[frozen].clone();
        let ledger = self.ownership_ledger.clone();
        let duration = Duration::from_millis(random.random_range(FREEZE_MS));
        let restarts = random.random_bool(0.5);
        let freezing = tokio::spawn(async move {
            if restarts {
                freezing.restart(Signal::SIGKILL, None).await;
            }
            freezing.freeze(duration, &ledger).await;
        });
        pause(random, RESTART_PAUSE_MS).await;
        self.hosts[stopped].restart(Signal::SIGTERM, None).await;
        freezing.await.expect("the host is resumed");
    }

    /// Sends SIGTERM a second time while the host stops.
    async fn stop_twice(&self, host: usize, random: &mut ChaCha8Rng) {
        let again_after = Duration::from_millis(random.random_range(0..RESTART_PAUSE_MS));
        let host = &self.hosts[host];
        host.restart(Signal::SIGTERM, Some(again_after)).await;
    }

    /// Stops a host again and again shortly after its start.
    async fn restart_repeatedly(&self, host: usize, random: &mut ChaCha8Rng) {
        for _ in 0..3 {
            let signal = match random.random_bool(0.3) {
                true => Signal::SIGKILL,
                false => Signal::SIGTERM,
            };
            self.hosts[host].restart(signal, None).await;
            pause(random, RESTART_PAUSE_MS).await;
        }
    }

    /// Stops each host, without waiting for those before.
    async fn restart_all(&self, random: &mut ChaCha8Rng) {
        let mut restarts = JoinSet::new();
        for host in self.hosts.clone() {
            restarts.spawn(async move { host.restart(Signal::SIGTERM, None).await });
            pause(random, RESTART_PAUSE_MS).await;
        }
        while let Some(ended) = restarts.join_next().await {
            ended.expect("a restart ends");
        }
    }

    /// Replaces servers and changes the configuration in quick succession.
    async fn change_repeatedly(&self, random: &mut ChaCha8Rng) {
        for _ in 0..4 {
            if random.random_bool(0.5) {
                let at = random.random_range(0..self.servers.count());
                self.servers.replace(at).await;
            } else {
                let version = self.config_version.fetch_add(1, Ordering::Relaxed) + 1;
                self.store.put("config", "main", (self.config)(version));
            }
            pause(random, CHANGE_PAUSE_MS).await;
        }
    }
}

async fn pause(random: &mut ChaCha8Rng, longest_ms: u64) {
    sleep(Duration::from_millis(random.random_range(0..longest_ms))).await;
}
