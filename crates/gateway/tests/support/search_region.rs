//! Hosts on runtimes of their own, which can be frozen and killed, over a store that returns to
//! earlier copies. Faults of one run are drawn from a seed.

use {
    super::{
        fixtures::entry,
        leader_hosts::{LeaderHost, leader_host_with},
        owned_region::{is_owned, stored},
    },
    camphorcove_core::{fleet::ServerEntry, ids::StoreVersion},
    camphorcove_gateway::leader::Resign,
    camphorcove_platform_standin::{
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::{StoreBackup, StoreStandin},
    },
    camphorcove_standin::proxy::ProxyStandin,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        time::sleep,
    },
};

/// Numbers of hosts and servers.
const HOSTS: usize = 5;
const SERVERS: usize = 4;

/// Interval of the checks for faults that are due, and of the keys that are counted.
const STEP: Duration = Duration::from_millis(50);

/// Steps between two copies of the store.
const STEPS_PER_COPY: u32 = 6;

/// Steps for which the same keys are the busy ones.
const STEPS_PER_BUSY_KEYS: u32 = 30;

/// Longest wait for the first assignment.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Time from the last fault until leases and doubts of all leaders have ended.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Host to which a fault happens.
#[derive(Clone, Copy, Debug)]
enum Target {
    Leader,
    Number(usize),
}

/// One fault of a run; spans in milliseconds.
#[derive(Clone, Copy, Debug)]
enum SearchFault {
    StoreDown,
    /// The store returns to the copy with this share of the age of all; the empty one at 1.
    StoreReturns(f64),
    KillHost(Target),
    StartHost(usize),
    Resign,
    Freeze(Target, u64),
    CutFromStore(Target, u64),
    CutServer(usize, u64),
    KillServer(usize),
    StartServer(usize),
}

struct SearchHost {
    host: LeaderHost,
    runtime: Runtime,
    store_proxy: Arc<ProxyStandin>,
}

struct SearchServer {
    server: OwningServer,
    proxy: Arc<ProxyStandin>,
    entry: ServerEntry,
}

/// Store, hosts and servers of one run.
pub struct SearchRegion {
    seed: u64,
    random: ChaCha8Rng,
    store: StoreStandin,
    address: SocketAddr,
    ledger: OwnershipLedger,
    hosts: Vec<Option<SearchHost>>,
    servers: Vec<SearchServer>,
    copies: Vec<StoreBackup>,
    fleet_changes: u64,
    started_at: Instant,
    /// Faults with their times, for the report of a violation.
    trace: Vec<String>,
}

impl SearchRegion {
    async fn start(seed: u64) -> Self {
        let (store, address) = StoreStandin::start().await;
        let mut region = Self {
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            copies: vec![store.back_up()],
            store,
            address,
            ledger: OwnershipLedger::default(),
            hosts: Vec::new(),
            servers: Vec::new(),
            fleet_changes: 0,
            started_at: Instant::now(),
            trace: Vec::new(),
        };
        for number in 0..SERVERS {
            let server = region.start_server(number, 1).await;
            region.servers.push(server);
        }
        for number in 0..HOSTS {
            let host = region.start_host(number).await;
            region.hosts.push(Some(host));
        }
        region
    }

    async fn start_server(&self, number: usize, incarnation: u64) -> SearchServer {
        // Ports are used again, so the servers of no two runs have the same id.
        let id = format!("s-{}-{number}", self.seed);
        let server = OwningServer::start(&id, &self.ledger).await;
        let proxy = ProxyStandin::to(server.address).await.expect("a proxy");
        let mut entry = entry(&id, "keyed", proxy.address());
        entry.incarnation = incarnation;
        SearchServer {
            server,
            proxy: Arc::new(proxy),
            entry,
        }
    }

    async fn start_host(&self, number: usize) -> SearchHost {
        let proxy = ProxyStandin::to(self.address).await.expect("a proxy");
        // One thread, as in the program; a task that blocks it freezes the host.
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let entries = self.servers.iter().map(|server| server.entry.clone());
        let (entries, store) = (entries.collect(), proxy.address());
        let name = format!("host-{number}");
        let started = runtime.spawn(async move { leader_host_with(&name, store, entries).await });
        SearchHost {
            host: started.await.expect("a host"),
            runtime,
            store_proxy: Arc::new(proxy),
        }
    }

    fn find(&self, target: Target) -> Option<usize> {
        let is_leader = |host: &Option<SearchHost>| {
            let host = host.as_ref();
            host.is_some_and(|host| host.host.state.is_leader())
        };
        match target {
            Target::Leader => self.hosts.iter().position(is_leader),
            Target::Number(number) => self.hosts[number].is_some().then_some(number),
        }
    }

    async fn apply(&mut self, fault: SearchFault) {
        let at = self.started_at.elapsed().as_millis();
        let term = stored(&self.store).map_or(0, |state| state.term);
        self.trace.push(format!("{at} ms, term {term}: {fault:?}"));
        match fault {
            SearchFault::StoreDown => self.store.set_down(true),
            SearchFault::StoreReturns(age) => {
                let last = self.copies.len() - 1;
                let at = (last as f64 * (1.0 - age)) as usize;
                self.store.restore(self.copies[at].clone());
                self.store.set_down(false);
            }
            SearchFault::KillHost(target) => {
                if let Some(host) = self.find(target).and_then(|at| self.hosts[at].take()) {
                    host.runtime.shutdown_background();
                }
            }
            SearchFault::StartHost(number) => {
                if self.hosts[number].is_none() {
                    self.hosts[number] = Some(self.start_host(number).await);
                }
            }
            SearchFault::Resign => {
                let at = self.find(Target::Leader);
                if let Some(host) = at.and_then(|at| self.hosts[at].as_ref()) {
                    let actor = host.host.actor.clone();
                    tokio::spawn(async move { actor.tell(Resign).await.is_ok() });
                }
            }
            SearchFault::Freeze(target, span) => self.freeze(target, Duration::from_millis(span)),
            SearchFault::CutFromStore(target, span) => {
                let at = self.find(target);
                if let Some(host) = at.and_then(|at| self.hosts[at].as_ref()) {
                    cut(host.store_proxy.clone(), Duration::from_millis(span));
                }
            }
            SearchFault::CutServer(number, span) => {
                let proxy = self.servers[number].proxy.clone();
                cut(proxy, Duration::from_millis(span));
            }
            SearchFault::KillServer(number) => self.servers[number].server.crash(),
            SearchFault::StartServer(number) => {
                self.servers[number].server.crash();
                let incarnation = self.servers[number].entry.incarnation + 1;
                self.servers[number] = self.start_server(number, incarnation).await;
                self.fleet_changes += 1;
                let version = StoreVersion::new(0, 100 + self.fleet_changes);
                for host in self.hosts.iter().flatten() {
                    let put = vec![self.servers[number].entry.clone()];
                    let state = &host.host.state;
                    state.apply_watched_changes(put, Vec::new(), version);
                }
            }
        }
    }

    /// Blocks the thread of a host.
    fn freeze(&self, target: Target, span: Duration) {
        let at = self.find(target);
        let Some(host) = at.and_then(|at| self.hosts[at].as_ref()) else {
            return;
        };
        let ledger = self.ledger.clone();
        host.runtime.spawn(async move {
            std::thread::sleep(span);
            ledger.host_resumed();
        });
    }

    /// Draws the faults of a run, with their times in milliseconds.
    fn draw_faults(&mut self) -> Vec<(u64, SearchFault)> {
        let random = &mut self.random;
        let mut faults = Vec::new();
        let mut returned_at = random.random_range(2_500..4_500);
        for _ in 0..1 + random.random_range(0..5) / 3 {
            let outage = random.random_range(0..1_600);
            faults.push((returned_at - outage, SearchFault::StoreDown));
            let age = match random.random_range(0..6) {
                0 => 1.0,
                1 => 0.9,
                _ => random.random_range(0.0..0.7),
            };
            faults.push((returned_at, SearchFault::StoreReturns(age)));
            returned_at += random.random_range(1_600..4_000);
        }
        let around = faults[1].0;
        let near = |random: &mut ChaCha8Rng, before: u64, after: u64| {
            (around + random.random_range(0..before + after)).saturating_sub(before)
        };
        let killed = [0.0, 0.2, 0.6, 0.8, 1.0][random.random_range(0..5)];
        for number in 0..HOSTS {
            if random.random::<f64>() < killed {
                let at = near(random, 600, 600);
                faults.push((at, SearchFault::KillHost(Target::Number(number))));
                let pause = random.random_range(50..1_200);
                faults.push((at + pause, SearchFault::StartHost(number)));
            }
        }
        for _ in 0..random.random_range(0..5) {
            let at = near(random, 300, 3_700);
            faults.push(match random.random_range(0..3) {
                0 => (at, SearchFault::Resign),
                _ => (at, SearchFault::KillHost(Target::Leader)),
            });
        }
        for _ in 0..random.random_range(0..3) {
            let target = match random.random_range(0..2) {
                0 => Target::Leader,
                _ => Target::Number(random.random_range(0..HOSTS)),
            };
            let span = random.random_range(500..6_000);
            let fault = match random.random_range(0..2) {
                0 => SearchFault::Freeze(target, span),
                _ => SearchFault::CutFromStore(target, span),
            };
            faults.push((near(random, 2_500, 2_500), fault));
        }
        for _ in 0..random.random_range(0..3) {
            let number = random.random_range(0..SERVERS);
            let at = near(random, 2_500, 3_000);
            match random.random_range(0..3) {
                0 => {
                    faults.push((at, SearchFault::KillServer(number)));
                    let pause = random.random_range(100..2_000);
                    faults.push((at + pause, SearchFault::StartServer(number)));
                }
                _ => {
                    let span = random.random_range(1_000..5_500);
                    faults.push((at, SearchFault::CutServer(number, span)));
                }
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        faults
    }

    /// Plays the faults, which are in order; returns violations, followed by the faults.
    async fn play(mut self, mut faults: Vec<(u64, SearchFault)>) -> Vec<String> {
        while !stored(&self.store).is_some_and(|state| is_owned(&state)) {
            assert!(self.started_at.elapsed() < START_LIMIT, "never owned");
            sleep(STEP).await;
        }
        faults.reverse();
        self.started_at = Instant::now();
        let mut step = 0;
        let mut last_fault_at = Instant::now();
        while !faults.is_empty() || last_fault_at.elapsed() < SETTLE_TIME {
            if step % STEPS_PER_COPY == 0 {
                self.copies.push(self.store.back_up());
            }
            let now = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some((_, fault)) = faults.pop_if(|(at, _)| *at <= now) {
                self.apply(fault).await;
                last_fault_at = Instant::now();
            }
            self.count_busy_keys(step);
            step += 1;
            sleep(STEP).await;
        }
        for host in self.hosts.drain(..).flatten() {
            host.runtime.shutdown_background();
        }
        let mut found = self.ledger.violations();
        if !found.is_empty() {
            found.extend(self.trace);
        }
        found
    }

    /// Counts requests for keys that change from time to time, so that keys move.
    fn count_busy_keys(&self, step: u32) {
        let service = "keyed".parse().expect("valid name");
        let first = (step / STEPS_PER_BUSY_KEYS % 4) as u16 * 16_000;
        for host in self.hosts.iter().flatten() {
            for key in first..first + 100 {
                host.host.state.count_key(&service, key);
            }
        }
    }
}

/// Resets all connections through the proxy for some time.
fn cut(proxy: Arc<ProxyStandin>, span: Duration) {
    proxy.change(|faults| faults.cut = true);
    tokio::spawn(async move {
        sleep(span).await;
        proxy.change(|faults| faults.cut = false);
    });
}

/// Plays the faults that a seed draws; returns violations of exclusive ownership, followed by the
/// faults.
pub async fn search(seed: u64) -> Vec<String> {
    let mut region = SearchRegion::start(seed).await;
    let faults = region.draw_faults();
    region.play(faults).await
}
