//! Servers of the soak, their entries in the store, and their return after a crash.

use {
    super::soak_host::free_port,
    camphorcove_platform_standin::{
        entries::server_entry,
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    camphorcove_standin::proxy::{ProxyOptions, ProxySettings, ProxyStandin},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Time after which the store entry of a crashed server is removed.
const ENTRY_LIFETIME: Duration = Duration::from_secs(2);

/// Time from a server's announcement until it ends: longer than that in which it takes requests, so
/// that later ones are noticed.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Time for which a server that a request ended refuses connections, in milliseconds.
const DOWN_TIME_MS: std::ops::Range<u64> = 1_000..3_000;

/// A server and what its entry says.
struct SoakServer {
    server: OwningServer,
    service: &'static str,
    born: u64,
    up: bool,
    /// In front of every second server.
    proxy: Option<Arc<ProxyStandin>>,
}

#[derive(Default)]
struct ServerList {
    servers: Vec<SoakServer>,
    /// Number of servers and incarnations started.
    started: u64,
    /// When a server was down; without an end while it still is.
    down: Vec<(String, Instant, Option<Instant>)>,
}

/// All servers of a run; clones share them.
#[derive(Clone)]
pub struct SoakServers {
    store: StoreStandin,
    ledger: OwnershipLedger,
    list: Arc<Mutex<ServerList>>,
}

impl SoakServers {
    pub fn new(store: StoreStandin, ledger: OwnershipLedger) -> Self {
        Self {
            store,
            ledger,
            list: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServerList> {
        self.list.lock().expect("not poisoned")
    }

    /// Starts a server with a new id.
    pub async fn add(&self, service: &'static str) {
        let server = self.start_new(service).await;
        let mut list = self.lock();
        self.write_entry(&server);
        list.servers.push(server);
    }

    async fn start_new(&self, service: &'static str) -> SoakServer {
        let born = self.next_born();
        let id = format!("s-{born}");
        let server = OwningServer::start_on(free_port(), &id, &self.ledger).await;
        let proxy = match born % 2 {
            0 => Some(Arc::new(start_proxy(server.address).await)),
            _ => None,
        };
        SoakServer {
            server,
            service,
            born,
            up: true,
            proxy,
        }
    }

    /// Start of the next incarnation; no two have the same.
    fn next_born(&self) -> u64 {
        let mut list = self.lock();
        list.started += 1;
        list.started
    }

    fn write_entry(&self, server: &SoakServer) {
        let proxy = server.proxy.as_ref();
        let address = proxy.map_or(server.server.address, |proxy| proxy.address());
        let entry = server_entry(server.service, address, "ready", server.born);
        self.store.put("servers", &server.server.id, entry);
    }

    fn remove_entry(&self, id: &str) {
        if self.store.spec("servers", id).is_some() {
            self.store.remove("servers", id);
        }
    }

    pub fn count(&self) -> usize {
        self.lock().servers.len()
    }

    /// Ids of all servers that run or will return.
    pub fn ids(&self) -> Vec<String> {
        let list = self.lock();
        let ids = list.servers.iter().map(|server| server.server.id.clone());
        ids.collect()
    }

    /// Crashes a server for good and starts another one for its service; nothing if another
    /// replacement has just taken the server at this position.
    pub async fn replace(&self, at: usize) {
        let removed = {
            let mut list = self.lock();
            (at < list.servers.len()).then(|| list.servers.swap_remove(at))
        };
        let Some(SoakServer {
            server, service, ..
        }) = removed
        else {
            return;
        };
        server.crash();
        self.record_down(&server.id);
        let servers = self.clone();
        tokio::spawn(async move {
            sleep(ENTRY_LIFETIME).await;
            servers.remove_entry(&server.id);
            servers.record_up(&server.id);
        });
        self.add(service).await;
    }

    /// Makes a server announce that it leaves, and starts another one for its service. Its entry says
    /// "ready" until it has gone.
    pub async fn leave(&self, at: usize) {
        let leaving = {
            let mut list = self.lock();
            (at < list.servers.len()).then(|| list.servers.swap_remove(at))
        };
        let Some(SoakServer {
            server, service, ..
        }) = leaving
        else {
            return;
        };
        self.ledger.announce_leaving(&server.id);
        let servers = self.clone();
        tokio::spawn(async move {
            sleep(LEAVING_TIME).await;
            server.crash();
            servers.remove_entry(&server.id);
        });
        self.add(service).await;
    }

    /// Removes entries of servers that do not run, and writes those of all others again.
    pub fn rewrite_entries(&self) {
        let list = self.lock();
        for id in self.store.names("servers") {
            let runs = |server: &SoakServer| server.up && server.server.id == id;
            if !list.servers.iter().any(runs) {
                self.store.remove("servers", &id);
            }
        }
        for server in list.servers.iter().filter(|server| server.up) {
            self.write_entry(server);
        }
    }

    /// Brings back each server that a request ends: under its id, or as another server.
    pub fn bring_back(&self, mut random: ChaCha8Rng) -> JoinHandle<()> {
        let mut crashed = self.ledger.listen_for_crashes();
        let servers = self.clone();
        tokio::spawn(async move {
            while let Some(id) = crashed.recv().await {
                let down_time = Duration::from_millis(random.random_range(DOWN_TIME_MS));
                let keeps_id = random.random_bool(0.5);
                let servers = servers.clone();
                tokio::spawn(async move { servers.return_after(id, down_time, keeps_id).await });
            }
        })
    }

    async fn return_after(&self, id: String, down_time: Duration, keeps_id: bool) {
        self.record_down(&id);
        if let Some(server) = self.lock().find(&id) {
            server.up = false;
            server.refuse(true);
        }
        sleep(down_time.min(ENTRY_LIFETIME)).await;
        if !keeps_id || down_time > ENTRY_LIFETIME {
            self.remove_entry(&id);
        }
        sleep(down_time.saturating_sub(ENTRY_LIFETIME)).await;
        let old = self
            .lock()
            .find(&id)
            .map(|server| (server.service, server.server.address, server.proxy.clone()));
        // A server that was replaced meanwhile does not return.
        if let Some((service, address, proxy)) = old {
            let server = match keeps_id {
                true => self.start_again(&id, service, address, proxy).await,
                false => self.start_new(service).await,
            };
            match self.lock().find(&id) {
                Some(old) => {
                    self.write_entry(&server);
                    *old = server;
                }
                None => server.server.crash(),
            }
        }
        self.record_up(&id);
    }

    async fn start_again(
        &self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        proxy: Option<Arc<ProxyStandin>>,
    ) -> SoakServer {
        let server = SoakServer {
            server: OwningServer::start_on(address, id, &self.ledger).await,
            service,
            born: self.next_born(),
            up: true,
            proxy,
        };
        server.refuse(false);
        server
    }

    /// Disturbs the connections of one of the servers that have a proxy for `duration`.
    pub async fn disturb(&self, at: usize, faults: ProxySettings, duration: Duration) {
        let proxies: Vec<Arc<ProxyStandin>> = {
            let list = self.lock();
            let proxies = list.servers.iter().map(|server| server.proxy.clone());
            proxies.flatten().collect()
        };
        if proxies.is_empty() {
            return;
        }
        let proxy = &proxies[at % proxies.len()];
        // The server may crash meanwhile, so whether it refuses connections is kept.
        let set = |faults: ProxySettings| {
            proxy.change(|settings| {
                let refuse = settings.refuse;
                *settings = ProxySettings { refuse, ..faults };
            });
        };
        set(faults);
        sleep(duration).await;
        set(ProxySettings::default());
    }

    fn record_down(&self, id: &str) {
        let span = (id.to_owned(), Instant::now(), None);
        self.lock().down.push(span);
    }

    fn record_up(&self, id: &str) {
        let now = Instant::now();
        for (down, _, until) in &mut self.lock().down {
            if down == id && until.is_none() {
                *until = Some(now);
            }
        }
    }

    /// Whether any server was down between these times.
    pub fn any_down(&self, from: Instant, until: Instant) -> bool {
        let list = self.lock();
        list.down
            .iter()
            .any(|(_, start, end)| *start <= until && end.is_none_or(|end| from <= end))
    }
}

impl SoakServer {
    /// Makes the proxy, if any, refuse connections as the server does, or accept them.
    fn refuse(&self, refuse: bool) {
        if let Some(proxy) = &self.proxy {
            proxy.change(|settings| settings.refuse = refuse);
        }
    }
}

async fn start_proxy(target: SocketAddr) -> ProxyStandin {
    let options = ProxyOptions {
        target,
        listen: free_port(),
        control: ([127, 0, 0, 1], 0).into(),
    };
    let proxy = ProxyStandin::start(options).await;
    proxy.expect("a free port")
}

impl ServerList {
    fn find(&mut self, id: &str) -> Option<&mut SoakServer> {
        let mut servers = self.servers.iter_mut();
        servers.find(|server| server.server.id == id)
    }
}
