//! Hosts that follow the evacuated zones in a store, servers in three zones, and callers.

use {
    super::{
        fixtures::{TestHost, entry, settings, start_listener},
        leader_hosts::{LeaderHost, host_with_settings},
    },
    camphorcove_core::{
        fleet::ServerEntry,
        ids::ZoneName,
        ownership::{OwnerState, RangePhase},
    },
    camphorcove_gateway::{
        peers::receive,
        state::HostState,
        watch::{EvacuationFollower, follow},
    },
    camphorcove_platform::StoreClient,
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::UdpSocket, task::JoinSet, time::sleep},
};

/// Time allowed for an evacuation in these tests, as both deployments set it.
pub const LIMIT: Duration = Duration::from_secs(5);

/// Zones of the servers.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Hosts: the leader and two others watch the store, the rest learns from digests.
const HOSTS: usize = 5;

/// Servers of each service in each zone.
const SERVERS_PER_ZONE: usize = 2;

/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Step between the keys of successive requests; requests reach all parts of the key space soon.
const KEY_STEP: u64 = 7_919;

/// Hosts, and servers of a keyed and a plain service in each zone.
pub struct EvacuationRegion {
    pub store: StoreStandin,
    pub ledger: OwnershipLedger,
    pub hosts: Vec<EvacuatingHost>,
    entries: Vec<ServerEntry>,
    _servers: Vec<OwningServer>,
    answers: Arc<Mutex<CallerView>>,
    callers: JoinSet<()>,
}

/// A host that serves callers.
pub struct EvacuatingHost {
    pub leader: LeaderHost,
    pub host: TestHost,
}

/// Answers that callers got, by service and status.
#[derive(Debug, Default)]
struct CallerView {
    statuses: BTreeMap<(&'static str, u16), u32>,
    refused: HashSet<String>,
    untrue: Vec<String>,
}

/// Starts the store and the servers without hosts.
pub async fn region_without_hosts() -> (EvacuationRegion, SocketAddr) {
    let (store, address) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for zone in ZONES {
        for (service, prefix) in [("keyed", "k"), ("plain", "p")] {
            for number in 0..SERVERS_PER_ZONE {
                let id = format!("{prefix}-{zone}-{number}");
                let server = OwningServer::start(&id, &ledger).await;
                let mut entry = entry(&id, service, server.address);
                entry.zone = zone.parse().expect("valid name");
                entries.push(entry);
                servers.push(server);
            }
        }
    }
    let region = EvacuationRegion {
        store,
        ledger,
        hosts: Vec::new(),
        entries,
        _servers: servers,
        answers: Arc::default(),
        callers: JoinSet::new(),
    };
    (region, address)
}

/// Starts the hosts and waits until all keys have owners.
pub async fn evacuation_region() -> EvacuationRegion {
    let (mut region, address) = region_without_hosts().await;
    region.start_hosts(address).await;
    region
}

/// Starts a host that follows the evacuated zones.
pub async fn evacuating_host(
    name: &str,
    store: SocketAddr,
    entries: Vec<ServerEntry>,
) -> LeaderHost {
    let mut settings = settings(store);
    settings.evacuation_limit = Some(LIMIT);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let socket = Arc::new(socket);
    let host = host_with_settings(settings, name, entries, socket.clone());
    let client = StoreClient::new(store, Duration::from_millis(400));
    let follower = EvacuationFollower::new(host.state.clone());
    tokio::spawn(follow(host.state.clone(), client, follower));
    tokio::spawn(receive(host.state.clone(), socket, host.actor.clone()));
    host
}

pub async fn until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "never {what}");
        sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

impl EvacuationRegion {
    pub async fn start_hosts(&mut self, store: SocketAddr) {
        for number in 0..HOSTS {
            let name = format!("host-{number}");
            let leader = evacuating_host(&name, store, self.entries.clone()).await;
            let host = start_listener(leader.state.clone()).await;
            self.hosts.push(EvacuatingHost { leader, host });
        }
        until("owned", || self.all_keys_owned()).await;
        until("known", || {
            let is_ready = |host: &EvacuatingHost| host.leader.state.is_ready();
            self.hosts.iter().all(is_ready)
        })
        .await;
    }

    /// Evacuates a zone as an operator does.
    pub fn evacuate(&self, zone: &str) {
        self.store
            .put("evacuations", zone, json!({"Reason": "test"}));
    }

    /// Lifts the evacuation of a zone.
    pub fn lift(&self, zone: &str) {
        self.store.remove("evacuations", zone);
    }

    /// Waits until all hosts know exactly these evacuated zones.
    pub async fn until_known(&self, zones: &[&str]) {
        let zones: BTreeSet<&str> = zones.iter().copied().collect();
        until("evacuation known", || {
            self.hosts
                .iter()
                .all(|host| evacuated(&host.leader.state) == zones_of(&zones))
        })
        .await;
    }

    /// Sends requests with and without keys to all hosts until the region is dropped.
    pub fn start_callers(&mut self) {
        let next = Arc::new(AtomicU64::new(0));
        for host in &self.hosts {
            for service in ["keyed", "plain"] {
                let address = host.host.address;
                let next = next.clone();
                let answers = self.answers.clone();
                self.callers.spawn(async move {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        send_request(address, service, number, &answers).await;
                        sleep(CALL_INTERVAL).await;
                    }
                });
            }
        }
    }

    /// Requests that have reached each server of the zones.
    pub fn requests(&self, zones: &[&str]) -> BTreeMap<String, usize> {
        let in_zones = |entry: &&ServerEntry| zones.contains(&entry.zone.as_str());
        let entries = self.entries.iter().filter(in_zones);
        let count = |entry: &ServerEntry| {
            let id = entry.id.to_string();
            let requests = self.ledger.requests(&id);
            (id, requests)
        };
        entries.map(count).collect()
    }

    /// Watches of the evacuated zones that the store has got.
    pub fn evacuation_watches(&self) -> usize {
        let calls = self.store.calls();
        let is_watch = |call: &&String| call.contains("/evacuations?Watch=");
        calls.iter().filter(is_watch).count()
    }

    /// Answers of a service so far, by status.
    pub fn statuses(&self, service: &'static str) -> BTreeMap<u16, u32> {
        let answers = self.answers.lock().expect("not poisoned");
        let of_service = answers.statuses.iter();
        let of_service = of_service.filter(|((name, _), _)| *name == service);
        of_service
            .map(|((_, status), count)| (*status, *count))
            .collect()
    }

    /// Reads with a key at each host.
    pub async fn read_key(&self, key: u64) -> Vec<CallerResponse> {
        let mut responses = Vec::new();
        for host in &self.hosts {
            let text = request("GET", "/key/a", "single", &key_header(key), "");
            responses.push(call(host.host.address, &text).await);
        }
        responses
    }

    /// Index of the host that leads.
    pub fn leader(&self) -> usize {
        let is_leader = |host: &EvacuatingHost| host.leader.state.is_leader();
        let leader = self.hosts.iter().position(is_leader);
        leader.expect("a leader")
    }

    /// Zones in which the stored assignment has owners.
    pub fn owner_zones(&self) -> BTreeSet<String> {
        let mut zones = BTreeSet::new();
        let Some(state) = self.stored() else {
            return zones;
        };
        for record in state.services.values().flat_map(|owners| &owners.ranges) {
            let owner = match &record.phase {
                RangePhase::Owned { owner, .. } | RangePhase::Moving { owner, .. } => owner,
                RangePhase::Free => continue,
            };
            let entry = self.entries.iter().find(|entry| entry.id == owner.id);
            zones.insert(entry.expect("a known server").zone.to_string());
        }
        zones
    }

    pub fn all_keys_owned(&self) -> bool {
        self.stored().is_some_and(|state| {
            let mut records = state.services.values().flat_map(|owners| &owners.ranges);
            !state.services.is_empty()
                && records.all(|record| matches!(record.phase, RangePhase::Owned { .. }))
        })
    }

    fn stored(&self) -> Option<OwnerState> {
        OwnerState::deserialize(self.store.spec("camphorcove", "owners")?).ok()
    }

    /// What callers and servers have seen against the promises.
    pub fn violations(&self) -> Vec<String> {
        let answers = self.answers.lock().expect("not poisoned");
        self.ledger.check_callers(&HashSet::new(), &answers.refused);
        let mut violations = self.ledger.violations();
        violations.extend(answers.untrue.iter().cloned());
        violations
    }
}

/// Zones that a host knows as evacuated.
pub fn evacuated(state: &HostState) -> BTreeSet<ZoneName> {
    let table = state.evacuations();
    table.zones().map(|(zone, _)| zone.clone()).collect()
}

fn zones_of(names: &BTreeSet<&str>) -> BTreeSet<ZoneName> {
    let zones = names.iter().map(|name| name.parse().expect("valid name"));
    zones.collect()
}

async fn send_request(
    address: SocketAddr,
    service: &'static str,
    number: u64,
    answers: &Mutex<CallerView>,
) {
    let id = format!("r-{number}");
    let text = match service {
        "keyed" => {
            let key = number * KEY_STEP % 65_536;
            request("GET", "/key/a", &id, &key_header(key), "")
        }
        _ => request("GET", "/read/a", &id, "", ""),
    };
    let response = call(address, &text).await;
    let mut answers = answers.lock().expect("not poisoned");
    let status = response.status;
    *answers.statuses.entry((service, status)).or_default() += 1;
    if status != 503 {
        return;
    }
    if !response.body.starts_with("not run") {
        let text = format!("{id} was refused with {:?}", response.body);
        answers.untrue.push(text);
    }
    answers.refused.insert(id);
}
