//! Hosts as real processes; the store and the servers run in the test, which injects faults.

use {
    super::{
        crash_series::{CrashSeries, SeriesContext},
        kept_callers::KeptCallers,
        link_faults::LinkContext,
        peer_relay::{PeerRelay, RelayedHost},
        soak_callers::{CALLER_TIMEOUT, CallerLedger, start_callers, status_of},
        soak_host::{SoakHost, free_port},
        soak_servers::SoakServers,
        stop_series::StopContext,
    },
    camphorcove_platform_standin::{
        caller::{key_header, request},
        entries::{config_entry, route_entry},
        owning_server::{AnswerFault, OwnershipLedger},
        store_standin::{StoreBackup, StoreStandin},
    },
    camphorcove_standin::proxy::ProxySettings,
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Number of hosts: the leader, two that watch the store, and two that get updates from the
/// leader.
const HOSTS: usize = 5;

/// Numbers of servers of the keyed and of the plain service for these hosts; more hosts get more.
const KEYED_SERVERS: usize = 3;
const PLAIN_SERVERS: usize = 2;

/// Requests a second that a limited server takes: less than the callers send to it.
const SERVER_LIMIT: f64 = 10.0;

/// Time after the last fault from which limits bind: until hosts run, know the limits and have a
/// leader.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(4_500);

/// Time for which requests to limited servers are counted.
const LIMIT_CHECK_TIME: Duration = Duration::from_millis(4_500);

/// Hosts, store, servers and callers of one run.
pub struct SoakRegion {
    random: ChaCha8Rng,
    /// Decides about limits apart from the other faults, whose sequence a seed keeps.
    limit_random: ChaCha8Rng,
    /// The same for the servers' answers.
    answer_random: ChaCha8Rng,
    /// The same for the store's backups.
    backup_random: ChaCha8Rng,
    /// The same for what servers say in their answers.
    hint_random: ChaCha8Rng,
    /// The same for requests that crash servers.
    crash_random: ChaCha8Rng,
    /// The same for series of stops and changes.
    stop_random: ChaCha8Rng,
    /// The same for faults of the network.
    link_random: ChaCha8Rng,
    hosts: Vec<Arc<SoakHost>>,
    relay: Arc<PeerRelay>,
    store: StoreStandin,
    ownership_ledger: OwnershipLedger,
    servers: SoakServers,
    caller_ledger: Arc<Mutex<CallerLedger>>,
    kept_callers: Option<KeptCallers>,
    crash_series: Vec<CrashSeries>,
    /// Series of stops and changes, and faults of the network, that go on.
    running_faults: JoinSet<()>,
    config_version: Arc<AtomicU64>,
    violations: Vec<String>,
    stop: Arc<AtomicBool>,
}

impl SoakRegion {
    /// Starts `hosts` hosts and a number of servers in proportion.
    pub async fn start(seed: u64, hosts: Option<usize>) -> Self {
        let host_count = hosts.unwrap_or(HOSTS);
        let servers_for = |servers: usize| (servers * host_count).div_ceil(HOSTS);
        let (store, address) = StoreStandin::start().await;
        store.put("config", "main", config(1));
        let ownership_ledger = OwnershipLedger::default();
        let address_of = |_| RelayedHost {
            public: free_port(),
            own: free_port(),
        };
        let addresses: Vec<RelayedHost> = (0..host_count).map(address_of).collect();
        let mut region = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            limit_random: ChaCha8Rng::seed_from_u64(seed ^ 1),
            answer_random: ChaCha8Rng::seed_from_u64(seed ^ 4),
            backup_random: ChaCha8Rng::seed_from_u64(seed ^ 2),
            hint_random: ChaCha8Rng::seed_from_u64(seed ^ 3),
            crash_random: random_apart(seed, "crashes"),
            stop_random: random_apart(seed, "stops"),
            link_random: random_apart(seed, "links"),
            hosts: Vec::new(),
            relay: Arc::new(PeerRelay::start(&addresses).await),
            servers: SoakServers::new(store.clone(), ownership_ledger.clone()),
            store,
            ownership_ledger,
            caller_ledger: Arc::default(),
            kept_callers: None,
            crash_series: Vec::new(),
            running_faults: JoinSet::new(),
            config_version: Arc::new(AtomicU64::new(1)),
            violations: Vec::new(),
            stop: Arc::default(),
        };
        for _ in 0..servers_for(KEYED_SERVERS) {
            region.servers.add("keyed").await;
        }
        for _ in 0..servers_for(PLAIN_SERVERS) {
            region.servers.add("plain").await;
        }
        region
            .servers
            .bring_back(random_apart(seed, "returning servers"));
        for (number, peers) in addresses.into_iter().enumerate() {
            let host = SoakHost::start(seed, number, address, peers).await;
            region.hosts.push(Arc::new(host));
        }
        region
    }

    /// Waits until all hosts serve keyed requests; `false` if that takes longer than `limit`.
    pub async fn wait_until_served(&self, limit: Duration) -> bool {
        let served = async {
            loop {
                let mut served_count = 0;
                for host in &self.hosts {
                    for key in [0, 30_000, 65_535] {
                        let id = format!("settle-{key}");
                        let extra = key_header(key);
                        let text = request("GET", "/key/a", &id, &extra, "");
                        served_count +=
                            usize::from(status_of(host.callers, &text).await == Some(200));
                    }
                }
                if served_count == self.hosts.len() * 3 {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(limit, served).await.is_ok()
    }

    /// Starts callers that send requests until `finish`.
    pub fn start_callers(&mut self) {
        let kept_callers = KeptCallers::start(&self.hosts, &self.caller_ledger, &self.stop);
        self.kept_callers = Some(kept_callers);
        let hosts: Vec<SocketAddr> = self.hosts.iter().map(|host| host.callers).collect();
        start_callers(&hosts, &self.caller_ledger, &self.stop);
    }

    /// Injects a random fault, which may overlap with earlier ones.
    pub async fn inject_fault(&mut self) {
        let host = self.random.random_range(0..self.hosts.len());
        let duration = Duration::from_millis(self.random.random_range(300..3_500));
        match self.random.random_range(0..9) {
            0 => self.hosts[host].restart(Signal::SIGKILL, None).await,
            1 => self.hosts[host].restart(Signal::SIGTERM, None).await,
            2 => {
                self.hosts[host]
                    .freeze(duration, &self.ownership_ledger)
                    .await;
            }
            3 => self.disturb_store_connection(host, duration),
            4 => {
                for host in 0..self.hosts.len() {
                    self.disturb_store_connection(host, duration);
                }
            }
            5 => {
                self.store.set_down(true);
                sleep(duration).await;
                self.store.set_down(false);
            }
            6 => {
                let at = self.random.random_range(0..self.servers.count());
                self.servers.replace(at).await;
            }
            7 => self.ownership_ledger.set_answer_fault(AnswerFault::Lost),
            _ => self.ownership_ledger.set_answer_fault(AnswerFault::None),
        }
    }

    /// Makes servers write refusals twice, or cut their answers, or neither.
    pub fn spoil_answers(&mut self) {
        let fault = match self.answer_random.random_range(0..6) {
            0 | 1 => AnswerFault::RefusedTwice,
            2 | 3 => AnswerFault::Cut,
            4 => AnswerFault::None,
            _ => return,
        };
        self.ownership_ledger.set_answer_fault(fault);
    }

    /// Makes a random server limit the rate of requests, or lifts its limit, or neither.
    pub fn change_limits(&mut self) {
        let ids = self.servers.ids();
        let id = &ids[self.limit_random.random_range(0..ids.len())];
        match self.limit_random.random_range(0..6) {
            0 | 1 => self.ownership_ledger.set_limit(id, Some(SERVER_LIMIT)),
            2 => self.ownership_ledger.set_limit(id, None),
            _ => {}
        }
    }

    /// Makes a random server turn requests away for a time, or announce that it leaves and be
    /// replaced, or neither.
    pub async fn give_hints(&mut self) {
        match self.hint_random.random_range(0..4) {
            0 => {
                let ids = self.servers.ids();
                let id = &ids[self.hint_random.random_range(0..ids.len())];
                let pause = Duration::from_millis(self.hint_random.random_range(200..2_500));
                self.ownership_ledger.turn_away(id, pause);
            }
            1 => {
                let at = self.hint_random.random_range(0..self.servers.count());
                self.servers.leave(at).await;
            }
            _ => {}
        }
    }

    /// Sometimes starts a series of requests that crash servers, which goes on beside other faults.
    pub fn start_crash_series(&mut self) {
        if self.crash_random.random_range(0..3) > 0 {
            return;
        }
        let context = self.series_context();
        let number = self.crash_series.len();
        let series = CrashSeries::start(number, &mut self.crash_random, &context);
        self.crash_series.push(series);
    }

    /// Sometimes starts a series of stops, restarts and changes, which goes on beside other faults.
    pub fn start_stop_series(&mut self) {
        if self.stop_random.random_range(0..4) > 0 {
            return;
        }
        let context = StopContext {
            hosts: self.hosts.clone(),
            servers: self.servers.clone(),
            store: self.store.clone(),
            ownership_ledger: self.ownership_ledger.clone(),
            config_version: self.config_version.clone(),
            config,
        };
        let random = ChaCha8Rng::seed_from_u64(self.stop_random.random());
        self.running_faults.spawn(context.run_series(random));
    }

    /// Sometimes delays or cuts connections and datagrams, beside other faults.
    pub fn disturb_links(&mut self) {
        if self.link_random.random_range(0..2) > 0 {
            return;
        }
        let context = LinkContext {
            hosts: self.hosts.clone(),
            servers: self.servers.clone(),
            relay: self.relay.clone(),
        };
        let random = ChaCha8Rng::seed_from_u64(self.link_random.random());
        self.running_faults.spawn(context.run_fault(random));
    }

    /// Waits until all stops, changes and faults of the network have ended.
    pub async fn end_running_faults(&mut self) {
        while let Some(ended) = self.running_faults.join_next().await {
            ended.expect("the series ends");
        }
    }

    /// Waits until requests that crash servers have ended and all servers are back.
    pub async fn end_crash_series(&mut self) {
        let context = self.series_context();
        for series in &mut self.crash_series {
            self.violations.extend(series.finish(&context).await);
        }
        while self.servers.any_down(Instant::now(), Instant::now()) {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether requests that resemble those of the series are served at all hosts within `limit`.
    pub async fn serves_similar(&self, limit: Duration) -> bool {
        let context = self.series_context();
        let served = async {
            for series in &self.crash_series {
                while !series.serves_similar(&context).await {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        timeout(limit, served).await.is_ok()
    }

    fn series_context(&self) -> SeriesContext {
        SeriesContext {
            hosts: self.hosts.clone(),
            servers: self.servers.clone(),
            ownership_ledger: self.ownership_ledger.clone(),
            caller_ledger: self.caller_ledger.clone(),
        }
    }

    /// Sometimes returns the store to `backup`, with or without an outage before. Servers that live
    /// then write their entries again, and the entries of others are gone.
    pub async fn restore_store(&mut self, backup: StoreBackup) {
        let outage = match self.backup_random.random_range(0..8) {
            0 => Duration::ZERO,
            1 => Duration::from_millis(self.backup_random.random_range(300..2_500)),
            _ => return,
        };
        self.store.set_down(true);
        sleep(outage).await;
        self.store.restore(backup);
        self.store.set_down(false);
        self.servers.rewrite_entries();
    }

    /// Content of the store, to return to.
    pub fn back_up(&self) -> StoreBackup {
        self.store.back_up()
    }

    /// Checks that limited servers get no more requests than they take, and then lifts the limits.
    pub async fn check_limits(&self) {
        sleep(LIMIT_NOTICE_TIME).await;
        let from = Instant::now();
        sleep(LIMIT_CHECK_TIME).await;
        self.ownership_ledger.check_limits(from);
        for id in self.servers.ids() {
            self.ownership_ledger.set_limit(&id, None);
        }
    }

    /// Disturbs the connection of one host to the store for `duration`: resets connections, or
    /// drops all bytes from the store, or drops all bytes in both directions.
    fn disturb_store_connection(&mut self, host: usize, duration: Duration) {
        let mut faults = ProxySettings::default();
        match self.random.random_range(0..3) {
            0 => faults.cut = true,
            1 => faults.down.blackhole = true,
            _ => {
                faults.up.blackhole = true;
                faults.down.blackhole = true;
            }
        }
        let host = self.hosts[host].clone();
        tokio::spawn(async move { host.cut_store(faults, duration).await });
    }

    /// Stops the callers and returns all violations that callers and servers found.
    pub async fn finish(&mut self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        sleep(CALLER_TIMEOUT).await;
        if let Some(callers) = self.kept_callers.take() {
            let cut_requests = callers.finish(&self.hosts, &self.ownership_ledger);
            self.violations.extend(cut_requests.await);
        }
        for host in &self.hosts {
            self.violations.extend(host.violations());
        }
        let caller_ledger = self.caller_ledger.lock().expect("not poisoned");
        self.ownership_ledger
            .check_callers(&caller_ledger.at_most_once, &caller_ledger.refused);
        let mut found = self.ownership_ledger.violations();
        found.extend(caller_ledger.wrong.clone());
        found.append(&mut self.violations);
        println!(
            "{} requests, {} served",
            caller_ledger.sent, caller_ledger.served
        );
        found
    }
}

/// Random numbers for one kind of fault, apart from the others, whose sequence a seed keeps.
fn random_apart(seed: u64, kind: &str) -> ChaCha8Rng {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    for (byte, letter) in bytes[8..].iter_mut().zip(kind.bytes()) {
        *byte = letter;
    }
    ChaCha8Rng::from_seed(bytes)
}

fn config(version: u64) -> serde_json::Value {
    let routes = [
        route_entry("read", "safe", "plain"),
        route_entry("write", "unsafe", "plain"),
        route_entry("key", "safe", "keyed"),
        route_entry("claim", "unsafe", "keyed"),
    ];
    config_entry(&format!("{version:08}"), &routes)
}
