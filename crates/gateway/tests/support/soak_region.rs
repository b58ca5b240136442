//! Hosts as real processes, with a store and servers in the test, and faults from outside.

use {
    camphorcove_platform_standin::{
        caller::{CallerAnswer, call, key_header, request},
        entries::{config_entry, route_entry, server_entry},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
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
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Hosts of a run: the leader, two that watch the store, and two that hear from the leader.
const HOSTS: usize = 5;

/// Keyed servers, and others, at the start.
const KEYED: usize = 3;
const PLAIN: usize = 2;

/// Callers that ask all the time.
const CALLERS: usize = 4;

/// Time after which the entry of a server that crashed disappears.
const LAPSE: Duration = Duration::from_secs(2);

/// Longest wait of a caller.
const CALLER_LIMIT: Duration = Duration::from_secs(4);

struct SoakHost {
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    proxy: Arc<ProxyStandin>,
    child: Child,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct CallerLedger {
    once: HashSet<String>,
    refused: HashSet<String>,
    wrong: Vec<String>,
    served: u64,
    asked: u64,
}

/// A region under faults.
pub struct SoakRegion {
    random: ChaCha8Rng,
    hosts: Vec<SoakHost>,
    store: StoreStandin,
    book: OwnershipLedger,
    servers: Vec<(OwningServer, &'static str)>,
    started: usize,
    ledger: Arc<Mutex<CallerLedger>>,
    stop: Arc<AtomicBool>,
}

impl SoakRegion {
    pub async fn start(seed: u64) -> Self {
        let (store, address) = StoreStandin::start().await;
        store.put("config", "main", config());
        let mut region = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            store,
            book: OwnershipLedger::default(),
            servers: Vec::new(),
            started: 0,
            ledger: Arc::default(),
            stop: Arc::default(),
        };
        for _ in 0..KEYED {
            region.add_server("keyed").await;
        }
        for _ in 0..PLAIN {
            region.add_server("plain").await;
        }
        for number in 0..HOSTS {
            region
                .hosts
                .push(SoakHost::start(seed, number, address).await);
        }
        region
    }

    /// Waits until keyed requests are served, for at most `limit`.
    pub async fn settle(&self, limit: Duration) -> bool {
        let served = async {
            loop {
                let mut good = 0;
                for host in &self.hosts {
                    for key in [0, 30_000, 65_535] {
                        let id = format!("settle-{key}");
                        let extra = key_header(key);
                        let text = request("GET", "/key/a", &id, &extra, "");
                        good += usize::from(ask(host.callers, &text).await == Some(200));
                    }
                }
                if good == HOSTS * 3 {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(limit, served).await.is_ok()
    }

    /// Starts callers that ask until the end.
    pub fn start_callers(&self) {
        let next = Arc::new(AtomicU64::new(0));
        for _ in 0..CALLERS {
            let hosts: Vec<SocketAddr> = self.hosts.iter().map(|host| host.callers).collect();
            let (next, ledger, stop) = (next.clone(), self.ledger.clone(), self.stop.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    ask_once(number, &hosts, &ledger).await;
                    sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }

    /// One fault; it may overlap with those before.
    pub async fn inject(&mut self) {
        let host = self.random.random_range(0..self.hosts.len());
        let span = Duration::from_millis(self.random.random_range(300..3_500));
        match self.random.random_range(0..9) {
            0 => self.hosts[host].restart(Signal::SIGKILL),
            1 => self.hosts[host].restart(Signal::SIGTERM),
            2 => {
                self.hosts[host].signal(Signal::SIGSTOP);
                sleep(span).await;
                self.book.host_resumed();
                self.hosts[host].signal(Signal::SIGCONT);
            }
            3 => self.cut_store(host, span),
            4 => {
                for host in 0..self.hosts.len() {
                    self.cut_store(host, span);
                }
            }
            5 => {
                self.store.set_down(true);
                sleep(span).await;
                self.store.set_down(false);
            }
            6 => self.replace_server().await,
            7 => self.book.lose_answers(true),
            _ => self.book.lose_answers(false),
        }
    }

    /// Cuts the way of one host to the store: silent, one way only, or with resets.
    fn cut_store(&mut self, host: usize, span: Duration) {
        let proxy = self.hosts[host].proxy.clone();
        let how = self.random.random_range(0..3);
        proxy.change(|faults| match how {
            0 => faults.cut = true,
            1 => faults.down.blackhole = true,
            _ => {
                faults.up.blackhole = true;
                faults.down.blackhole = true;
            }
        });
        tokio::spawn(async move {
            sleep(span).await;
            proxy.change(|faults| *faults = ProxySettings::default());
        });
    }

    async fn replace_server(&mut self) {
        let at = self.random.random_range(0..self.servers.len());
        let (server, service) = self.servers.swap_remove(at);
        server.crash();
        let (store, id) = (self.store.clone(), server.id);
        tokio::spawn(async move {
            sleep(LAPSE).await;
            store.remove("servers", &id);
        });
        self.add_server(service).await;
    }

    async fn add_server(&mut self, service: &'static str) {
        self.started += 1;
        let id = format!("s-{}", self.started);
        let server = OwningServer::start(&id, &self.book).await;
        let born = u64::try_from(self.started).unwrap_or(0);
        let entry = server_entry(service, server.address, "ready", born);
        self.store.put("servers", &id, entry);
        self.servers.push((server, service));
    }

    /// Ends the callers and returns what was broken.
    pub async fn finish(&mut self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        sleep(CALLER_LIMIT).await;
        let ledger = self.ledger.lock().expect("not poisoned");
        self.book.check_callers(&ledger.once, &ledger.refused);
        let mut broken = self.book.violations();
        broken.extend(ledger.wrong.clone());
        println!("{} requests, {} served", ledger.asked, ledger.served);
        broken
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
        // A process that has ended already needs no signal.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Ends the process and starts it again.
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

fn free_ports() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("bound"))
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

/// Status of an answer, if there is one.
async fn ask(to: SocketAddr, text: &str) -> Option<u16> {
    let answer = timeout(CALLER_LIMIT, try_call(to, text)).await.ok()??;
    Some(answer.status)
}

async fn try_call(to: SocketAddr, text: &str) -> Option<CallerAnswer> {
    // A host that is down takes no connection.
    drop(tokio::net::TcpStream::connect(to).await.ok()?);
    Some(call(to, text).await)
}

async fn ask_once(number: u64, hosts: &[SocketAddr], ledger: &Arc<Mutex<CallerLedger>>) {
    let id = format!("c-{number}");
    let key = number.wrapping_mul(7_919) % 65_536;
    let extra = key_header(key);
    let (method, path, once) = match number % 4 {
        0 => ("GET", "/read/a", false),
        1 => ("POST", "/write/a", true),
        2 => ("GET", "/key/a", false),
        _ => ("POST", "/claim/a", true),
    };
    let text = request(method, path, &id, &extra, "");
    if once {
        ledger.lock().expect("not poisoned").once.insert(id.clone());
    }
    let to = hosts[usize::try_from(number / 4).unwrap_or(0) % hosts.len()];
    let answer = timeout(CALLER_LIMIT, try_call(to, &text)).await;
    let mut ledger = ledger.lock().expect("not poisoned");
    ledger.asked += 1;
    let Ok(Some(answer)) = answer else {
        return;
    };
    match answer.status {
        200 if answer.complete && answer.body == id => ledger.served += 1,
        200 => ledger.wrong.push(format!("request {id} got {answer:?}")),
        503 => drop(ledger.refused.insert(id)),
        _ => {}
    }
}
