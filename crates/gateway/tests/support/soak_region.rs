//! Hosts as real processes; the store and the servers run in the test, which injects faults.

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        entries::{config_entry, route_entry, server_entry},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::{StoreBackup, StoreStandin},
    },
    camphorcove_standin::proxy::{ProxySettings, ProxyStandin},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::HashSet,
        fs,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Number of hosts: the leader, two that watch the store, and two that get updates from the
/// leader.
const HOSTS: usize = 5;

/// Numbers of servers of the keyed and of the plain service at the start.
const KEYED_SERVERS: usize = 3;
const PLAIN_SERVERS: usize = 2;

/// Requests a second that a limited server takes: less than the callers send to it.
const SERVER_LIMIT: f64 = 10.0;

/// Time after the last fault from which limits bind: until hosts run, know the limits and have a
/// leader.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(4_500);

/// Time for which requests to limited servers are counted.
const LIMIT_CHECK_TIME: Duration = Duration::from_millis(4_500);

/// Number of callers that send requests continuously.
const CALLERS: usize = 4;

/// Time after which the store entry of a crashed server is removed.
const ENTRY_LIFETIME: Duration = Duration::from_secs(2);

/// Longest time for which a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// First port for hosts, and the number of ports: below the range of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Distance between the first ports of test processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 97;

/// Number of ports that this process has tried.
static PORTS_TAKEN: AtomicU32 = AtomicU32::new(0);

/// Time from a server's announcement until it ends: longer than that in which it takes requests, so
/// that later ones are noticed.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// A host process whose connections to the store go through a proxy.
struct SoakHost {
    settings: PathBuf,
    log: PathBuf,
    /// Address of the listener for callers.
    callers: SocketAddr,
    proxy: Arc<ProxyStandin>,
    child: Child,
}

/// Requests and responses recorded by the callers.
#[derive(Debug, Default)]
pub struct CallerLedger {
    /// Ids of the at-most-once requests sent.
    at_most_once: HashSet<String>,
    /// Ids of the requests refused with status 503, which must not have run.
    refused: HashSet<String>,
    /// Descriptions of successes with a wrong or truncated body.
    wrong: Vec<String>,
    served: u64,
    sent: u64,
}

/// Hosts, store, servers and callers of one run.
pub struct SoakRegion {
    random: ChaCha8Rng,
    /// Decides about limits apart from the other faults, whose sequence a seed keeps.
    limit_random: ChaCha8Rng,
    /// The same for the store's backups.
    backup_random: ChaCha8Rng,
    /// The same for what servers say in their answers.
    hint_random: ChaCha8Rng,
    hosts: Vec<SoakHost>,
    store: StoreStandin,
    ownership_ledger: OwnershipLedger,
    servers: Vec<(OwningServer, &'static str)>,
    servers_started: usize,
    caller_ledger: Arc<Mutex<CallerLedger>>,
    stop: Arc<AtomicBool>,
}

impl SoakRegion {
    pub async fn start(seed: u64) -> Self {
        let (store, address) = StoreStandin::start().await;
        store.put("config", "main", config());
        let mut region = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            limit_random: ChaCha8Rng::seed_from_u64(seed ^ 1),
            backup_random: ChaCha8Rng::seed_from_u64(seed ^ 2),
            hint_random: ChaCha8Rng::seed_from_u64(seed ^ 3),
            hosts: Vec::new(),
            store,
            ownership_ledger: OwnershipLedger::default(),
            servers: Vec::new(),
            servers_started: 0,
            caller_ledger: Arc::default(),
            stop: Arc::default(),
        };
        for _ in 0..KEYED_SERVERS {
            region.add_server("keyed").await;
        }
        for _ in 0..PLAIN_SERVERS {
            region.add_server("plain").await;
        }
        for number in 0..HOSTS {
            region
                .hosts
                .push(SoakHost::start(seed, number, address).await);
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
                if served_count == HOSTS * 3 {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(limit, served).await.is_ok()
    }

    /// Starts callers that send requests until `finish`.
    pub fn start_callers(&self) {
        let next = Arc::new(AtomicU64::new(0));
        for _ in 0..CALLERS {
            let hosts: Vec<SocketAddr> = self.hosts.iter().map(|host| host.callers).collect();
            let (next, caller_ledger, stop) =
                (next.clone(), self.caller_ledger.clone(), self.stop.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    send_next(number, &hosts, &caller_ledger).await;
                    sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }

    /// Injects a random fault, which may overlap with earlier ones.
    pub async fn inject_fault(&mut self) {
        let host = self.random.random_range(0..self.hosts.len());
        let duration = Duration::from_millis(self.random.random_range(300..3_500));
        match self.random.random_range(0..9) {
            0 => self.hosts[host].restart(Signal::SIGKILL),
            1 => self.hosts[host].restart(Signal::SIGTERM),
            2 => {
                self.hosts[host].signal(Signal::SIGSTOP);
                sleep(duration).await;
                self.ownership_ledger.host_resumed();
                self.hosts[host].signal(Signal::SIGCONT);
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
            6 => self.replace_server().await,
            7 => self.ownership_ledger.lose_responses(true),
            _ => self.ownership_ledger.lose_responses(false),
        }
    }

    /// Makes a random server limit the rate of requests, or lifts its limit, or neither.
    pub fn change_limits(&mut self) {
        let server = self.limit_random.random_range(0..self.servers.len());
        let id = &self.servers[server].0.id;
        match self.limit_random.random_range(0..6) {
            0 | 1 => self.ownership_ledger.set_limit(id, Some(SERVER_LIMIT)),
            2 => self.ownership_ledger.set_limit(id, None),
            _ => {}
        }
    }

    /// Makes a random server turn requests away for a time, or announce that it leaves and be
    /// replaced, or neither.
    pub async fn give_hints(&mut self) {
        let at = self.hint_random.random_range(0..self.servers.len());
        match self.hint_random.random_range(0..4) {
            0 => {
                let pause = Duration::from_millis(self.hint_random.random_range(200..2_500));
                let id = &self.servers[at].0.id;
                self.ownership_ledger.turn_away(id, pause);
            }
            1 => {
                let (server, service) = self.servers.swap_remove(at);
                self.ownership_ledger.announce_leaving(&server.id);
                let store = self.store.clone();
                tokio::spawn(async move {
                    // Its entry says "ready" until it has gone.
                    sleep(LEAVING_TIME).await;
                    server.crash();
                    store.remove("servers", &server.id);
                });
                self.add_server(service).await;
            }
            _ => {}
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
        for id in self.store.names("servers") {
            if !self.servers.iter().any(|(server, _)| server.id == id) {
                self.store.remove("servers", &id);
            }
        }
        for (server, service) in &self.servers {
            let entry = server_entry(service, server.address, "ready", born(&server.id));
            self.store.put("servers", &server.id, entry);
        }
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
        for (server, _) in &self.servers {
            self.ownership_ledger.set_limit(&server.id, None);
        }
    }

    /// Disturbs the connection of one host to the store for `duration`: resets connections, or
    /// drops all bytes from the store, or drops all bytes in both directions.
    fn disturb_store_connection(&mut self, host: usize, duration: Duration) {
        let proxy = self.hosts[host].proxy.clone();
        let fault_kind = self.random.random_range(0..3);
        proxy.change(|faults| match fault_kind {
            0 => faults.cut = true,
            1 => faults.down.blackhole = true,
            _ => {
                faults.up.blackhole = true;
                faults.down.blackhole = true;
            }
        });
        tokio::spawn(async move {
            sleep(duration).await;
            proxy.change(|faults| *faults = ProxySettings::default());
        });
    }

    async fn replace_server(&mut self) {
        let at = self.random.random_range(0..self.servers.len());
        let (server, service) = self.servers.swap_remove(at);
        server.crash();
        let (store, id) = (self.store.clone(), server.id);
        tokio::spawn(async move {
            sleep(ENTRY_LIFETIME).await;
            store.remove("servers", &id);
        });
        self.add_server(service).await;
    }

    async fn add_server(&mut self, service: &'static str) {
        self.servers_started += 1;
        let id = format!("s-{}", self.servers_started);
        let server = OwningServer::start(&id, &self.ownership_ledger).await;
        let entry = server_entry(service, server.address, "ready", born(&id));
        self.store.put("servers", &id, entry);
        self.servers.push((server, service));
    }

    /// Stops the callers and returns all violations that callers and servers found.
    pub async fn finish(&mut self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        sleep(CALLER_TIMEOUT).await;
        let caller_ledger = self.caller_ledger.lock().expect("not poisoned");
        self.ownership_ledger
            .check_callers(&caller_ledger.at_most_once, &caller_ledger.refused);
        let mut found = self.ownership_ledger.violations();
        found.extend(caller_ledger.wrong.clone());
        println!(
            "{} requests, {} served",
            caller_ledger.sent, caller_ledger.served
        );
        found
    }
}

impl SoakHost {
    async fn start(seed: u64, number: usize, store: SocketAddr) -> Self {
        let proxy = Arc::new(ProxyStandin::to(store).await.expect("a port is free"));
        let folder = std::env::temp_dir().join(format!("camphorcove-soak-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let settings = folder.join(format!("{seed}-{number}.toml"));
        let log = folder.join(format!("{seed}-{number}.log"));
        let [callers, readiness, peers, metrics] = free_ports();
        let text = format!(
            "host = \"host-{number}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             store = \"{}\"\ncpu_share = 1\nmemory_mb = 128\ndescriptors = 1024\nstop_limit_s = 5\n\
             repeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window_s = 10\n",
            proxy.address()
        );
        fs::write(&settings, text).expect("settings are written");
        let child = spawn(&settings, &log);
        Self {
            settings,
            log,
            callers,
            proxy,
            child,
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        // An error means that the process has already ended.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Ends the process with a signal and starts it again.
    fn restart(&mut self, signal: Signal) {
        self.signal(signal);
        let ended = self.child.wait().expect("own process");
        if signal == Signal::SIGTERM {
            assert!(ended.success(), "planned stop ended with {ended}");
        }
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::File::options().create(true).append(true).open(log);
    Command::new(env!("CARGO_BIN_EXE_camphorcove-gateway"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(log.expect("a log file")))
        .spawn()
        .expect("the program starts")
}

/// Ports that no other host of this process gets and that no outgoing connection takes, as they
/// lie below the range from which the system chooses. Ports from that range were handed out twice.
fn free_ports() -> [SocketAddr; 4] {
    [(); 4].map(|()| {
        loop {
            let offset = PORTS_TAKEN.fetch_add(1, Ordering::Relaxed);
            let start = std::process::id() * PORTS_PER_PROCESS + offset;
            let port = FIRST_PORT + u16::try_from(start % PORT_COUNT).expect("below the limit");
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    })
}

/// Start of the server with this id; no two servers have the same.
fn born(id: &str) -> u64 {
    id.trim_start_matches("s-").parse().expect("a number")
}

fn config() -> serde_json::Value {
    let routes = [
        route_entry("read", "safe", "plain"),
        route_entry("write", "unsafe", "plain"),
        route_entry("key", "safe", "keyed"),
        route_entry("claim", "unsafe", "keyed"),
    ];
    config_entry("00000001", &routes)
}

/// Status of the response, if one arrives in time.
async fn status_of(to: SocketAddr, text: &str) -> Option<u16> {
    let response = timeout(CALLER_TIMEOUT, call_if_up(to, text)).await.ok()??;
    Some(response.status)
}

async fn call_if_up(to: SocketAddr, text: &str) -> Option<CallerResponse> {
    // A host that is down refuses the connection, which would make `call` panic, and so does one that
    // goes down now; the task keeps that from ending the caller.
    drop(tokio::net::TcpStream::connect(to).await.ok()?);
    let text = text.to_owned();
    let calling = tokio::spawn(async move { call(to, &text).await });
    calling.await.ok()
}

/// Sends request `number` to one of the hosts and records the result. At-most-once requests are
/// recorded before they are sent.
async fn send_next(number: u64, hosts: &[SocketAddr], caller_ledger: &Arc<Mutex<CallerLedger>>) {
    let id = format!("c-{number}");
    let key = number.wrapping_mul(7_919) % 65_536;
    let key = key_header(key);
    // Only keyed services get keys; a server of another service would refuse the request.
    let (method, path, extra, at_most_once) = match number % 4 {
        0 => ("GET", "/read/a", "", false),
        1 => ("POST", "/write/a", "", true),
        2 => ("GET", "/key/a", key.as_str(), false),
        _ => ("POST", "/claim/a", key.as_str(), true),
    };
    let text = request(method, path, &id, extra, "");
    if at_most_once {
        caller_ledger
            .lock()
            .expect("not poisoned")
            .at_most_once
            .insert(id.clone());
    }
    let to = hosts[usize::try_from(number / 4).unwrap_or(0) % hosts.len()];
    let response = timeout(CALLER_TIMEOUT, call_if_up(to, &text)).await;
    let mut caller_ledger = caller_ledger.lock().expect("not poisoned");
    caller_ledger.sent += 1;
    let Ok(Some(response)) = response else {
        return;
    };
    match response.status {
        200 if response.complete && response.body == id => caller_ledger.served += 1,
        200 => caller_ledger
            .wrong
            .push(format!("request {id} got {response:?}")),
        503 => drop(caller_ledger.refused.insert(id)),
        _ => {}
    }
}
