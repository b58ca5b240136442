//! Hosts with a leader whose ways to the servers can be cut host by host.

use {
    super::{
        fixtures::{TestHost, entry, start_listeners},
        leader_hosts::{LeaderHost, relaying_host},
    },
    camphorcove_core::fleet::ServerEntry,
    camphorcove_gateway::state::HostCounters,
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    camphorcove_standin::proxy::{DirectionFaults, ProxySettings, ProxyStandin},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Servers of each service.
const SERVERS: usize = 4;

/// Longest time in which the hosts have a leader that all of them report to and that has granted all
/// keys.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// Kinds of requests.
const KINDS: usize = 3;

/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// How connections between a host and the servers fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCut {
    /// Open connections carry nothing more, and attempts to connect get no answer.
    Hanging,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections work; new ones are refused.
    NewRefused,
}

impl LinkCut {
    fn settings(self) -> ProxySettings {
        let silent = DirectionFaults {
            blackhole: true,
            ..DirectionFaults::default()
        };
        match self {
            Self::Hanging => ProxySettings {
                ignore: true,
                up: silent.clone(),
                down: silent,
                ..ProxySettings::default()
            },
            Self::Reset => ProxySettings {
                cut: true,
                refuse: true,
                ..ProxySettings::default()
            },
            Self::NewRefused => ProxySettings {
                refuse: true,
                ..ProxySettings::default()
            },
        }
    }
}

/// A host and its ways to all servers.
pub struct CuttableHost {
    pub host: TestHost,
    pub leader: LeaderHost,
    links: Vec<ProxyStandin>,
}

impl CuttableHost {
    /// Cuts the host from all servers.
    pub async fn cut(&self, cut: LinkCut) {
        let new = cut.settings();
        for link in &self.links {
            link.change(|settings| settings.refuse = new.refuse);
        }
        // The ports are closed before the open connections end.
        sleep(Duration::from_millis(20)).await;
        for link in &self.links {
            link.change(|settings| *settings = new.clone());
        }
    }

    /// Value of a counter of the host.
    pub fn count(&self, counter: impl Fn(&HostCounters) -> &AtomicU64) -> u64 {
        counter(&self.host.state.counters).load(Ordering::Relaxed)
    }

    /// Whether the host leads.
    pub fn is_leader(&self) -> bool {
        self.host.state.is_leader()
    }

    /// Whether the host knows of requests under which servers have crashed.
    pub fn has_suspects(&self) -> bool {
        self.host.state.has_suspects()
    }

    /// Whether the host knows that it reaches no servers.
    pub fn lacks_servers(&self) -> bool {
        self.host.state.lacks_servers()
    }

    /// Ends the cut.
    pub fn heal(&self) {
        for link in &self.links {
            link.change(|settings| *settings = ProxySettings::default());
        }
    }
}

/// Hosts, and servers of a keyed and a plain service.
pub struct CuttableRegion {
    pub hosts: Vec<CuttableHost>,
    pub ledger: OwnershipLedger,
    /// Keeps the servers running.
    _servers: Vec<OwningServer>,
    next_id: Arc<AtomicU64>,
    answers: Arc<Mutex<CallerView>>,
}

/// What callers know of their requests.
#[derive(Default)]
struct CallerView {
    at_most_once: HashSet<String>,
    refused: HashSet<String>,
}

/// Requests of one kind to one host, and how many a server has answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedShare {
    pub sent: u32,
    pub served: u32,
}

impl ServedShare {
    pub fn value(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// Starts hosts, each of which reaches the servers over connections of its own.
pub async fn cuttable_region(count: usize) -> CuttableRegion {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let mut servers = Vec::new();
    for (service, prefix) in [("plain", "s"), ("keyed", "k")] {
        for number in 0..SERVERS {
            let server = OwningServer::start(&format!("{prefix}-{number}"), &ledger).await;
            servers.push((service, server));
        }
    }
    let mut hosts = Vec::new();
    for number in 0..count {
        let mut links = Vec::new();
        let mut entries: Vec<ServerEntry> = Vec::new();
        for (service, server) in &servers {
            let link = ProxyStandin::to(server.address)
                .await
                .expect("a port is free");
            entries.push(entry(&server.id, service, link.address()));
            links.push(link);
        }
        let name = format!("host-{number}");
        let (leader, relays) = relaying_host(&name, store, entries).await;
        let host = start_listeners(leader.state.clone(), Some(relays)).await;
        hosts.push(CuttableHost {
            host,
            leader,
            links,
        });
    }
    sleep(SETTLE_TIME).await;
    CuttableRegion {
        hosts,
        ledger,
        _servers: servers.into_iter().map(|(_, server)| server).collect(),
        next_id: Arc::default(),
        answers: Arc::default(),
    }
}

impl CuttableRegion {
    /// Sends first tries to all hosts for some time, from this many callers for each kind of request and
    /// host; returns what each host has served.
    pub async fn load(&self, callers_per_kind: usize, duration: Duration) -> Vec<ServedShare> {
        self.load_kinds(KINDS, callers_per_kind, duration).await
    }

    /// The same without requests that have keys, whose owners change with the leader.
    pub async fn load_plain(
        &self,
        callers_per_kind: usize,
        duration: Duration,
    ) -> Vec<ServedShare> {
        self.load_kinds(KINDS - 1, callers_per_kind, duration).await
    }

    /// Sends a read to a host.
    pub async fn read_at(&self, host: usize) -> CallerResponse {
        let text = request("GET", "/read/a", "single", "", "");
        call(self.hosts[host].host.address, &text).await
    }

    async fn load_kinds(
        &self,
        kinds: usize,
        callers_per_kind: usize,
        duration: Duration,
    ) -> Vec<ServedShare> {
        let end = Instant::now() + duration;
        let mut callers = JoinSet::new();
        for (at, host) in self.hosts.iter().enumerate() {
            for caller in 0..callers_per_kind * kinds {
                let kind = caller % kinds;
                let address = host.host.address;
                let next_id = self.next_id.clone();
                let answers = self.answers.clone();
                callers.spawn(async move {
                    let mut share = ServedShare::default();
                    while Instant::now() < end {
                        let number = next_id.fetch_add(1, Ordering::Relaxed);
                        let served = call_host(address, kind, number, &answers).await;
                        share.sent += 1;
                        share.served += u32::from(served);
                        sleep(CALL_INTERVAL).await;
                    }
                    (at, share)
                });
            }
        }
        let mut shares = vec![ServedShare::default(); self.hosts.len()];
        while let Some(ended) = callers.join_next().await {
            let (at, share) = ended.expect("a caller");
            shares[at].sent += share.sent;
            shares[at].served += share.served;
        }
        shares
    }

    /// What callers and servers have seen against the promises.
    pub fn violations(&self) -> Vec<String> {
        let answers = self.answers.lock().expect("not poisoned");
        self.ledger
            .check_callers(&answers.at_most_once, &answers.refused);
        self.ledger.violations()
    }
}

/// Sends one request: a read, a write or a read with a key. Returns whether a server has answered it.
async fn call_host(
    address: SocketAddr,
    kind: usize,
    number: u64,
    answers: &Mutex<CallerView>,
) -> bool {
    let id = format!("r-{number}");
    let text = match kind {
        0 => request("GET", &format!("/read/{number}"), &id, "", ""),
        1 => request("POST", &format!("/write/{number}"), &id, "", "body"),
        _ => request(
            "GET",
            "/key/a",
            &id,
            &key_header(number * 7_919 % 65_536),
            "",
        ),
    };
    let response = call(address, &text).await;
    let mut answers = answers.lock().expect("not poisoned");
    if kind == 1 {
        answers.at_most_once.insert(id.clone());
    }
    if response.status == 503 && kind == 1 {
        answers.refused.insert(id);
    }
    response.status == 200 && response.complete
}
