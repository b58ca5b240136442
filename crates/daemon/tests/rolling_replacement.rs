//! Rolling replacement of all hosts and a drain that a server announces itself, under load and
//! with real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_net::http::ExchangeError,
    camphorcove_standin::backend::BackendSettings,
    nix::sys::signal::Signal,
    processes::{CallerClient, Region, RegionPlan, SERVICE, wait_until},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::task::JoinHandle,
};

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Maximum number of requests of one caller.
const MAX_REQUESTS: usize = 15_000;

/// Number of keys; enough that the load is even over the servers and causes no moves.
const KEYS: usize = 640;

/// Number of requests that must be answered before a test continues with its next step.
const REQUESTS_PER_STEP: usize = 300;

/// Every host is replaced by one with a new id. Guards against requests that are lost, run
/// twice or run although they were refused as not run, and against shards that move.
#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_are_replaced_under_load() {
    let mut region = Region::serving(plan("rolling")).await;
    let before = servers_by_shard(&region);
    let load = Load::start(&region);

    for number in 0..region.daemons.len() {
        let new = region.daemons.len() + number;
        region.start_daemon(new).await;
        let started = region.daemons.last().expect("new host");
        region.wait_serving_at(started).await;
        load.add_host(started.callers);
        load.wait_for_step().await;

        let mut old = region.daemons.remove(0);
        old.signal(Signal::SIGTERM);
        let status = old.wait().await;
        load.remove_host(old.callers);
        assert_eq!(status.code(), Some(0), "{} drops no request", old.host());
        wait_for_stable_hosts(&region).await;
        load.wait_for_step().await;
    }
    let outcomes = load.finish().await;

    let hosts: Vec<&str> = region.daemons.iter().map(|daemon| daemon.host()).collect();
    assert_eq!(hosts, ["host3", "host4", "host5"]);
    outcomes.assert_complete(&region);
    region.wait_serving().await;
    assert_eq!(
        servers_by_shard(&region),
        before,
        "a shard changed its server"
    );
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

/// Guards against new requests to a server that has announced its drain, and against requests
/// that are refused or run twice because of the drain.
#[tokio::test(flavor = "multi_thread")]
async fn server_announces_its_drain_under_load() {
    let region = Region::serving(plan("drain-signal")).await;
    let load = Load::start(&region);
    load.wait_for_step().await;
    let held: BTreeSet<u32> = shards_run_by(&region, 0, 0);
    assert!(!held.is_empty(), "the server has work before its drain");

    region.servers[0].update_settings(|settings| settings.draining = true);
    wait_until("the shards have moved", || async {
        let others = [1, 2].map(|server| shards_run_by(&region, server, 0));
        let moved = others.into_iter().flatten().collect::<BTreeSet<u32>>();
        let changes = region.owner_changes();
        let drained = changes
            .iter()
            .any(|[old, _, reason]| old == "s0" && reason == "drain");
        drained && held.is_subset(&moved) && live_grants(&region, 0) == 0
    })
    .await;
    let runs_at_move = region.servers[0].ledger().len();
    load.wait_for_step().await;
    load.wait_for_step().await;
    let outcomes = load.finish().await;

    assert_eq!(
        region.servers[0].ledger().len(),
        runs_at_move,
        "new work after the drain"
    );
    assert_eq!(outcomes.refused(), Vec::<String>::new());
    outcomes.assert_complete(&region);
    region.wait_serving().await;
    region.assert_exclusive();
    region.assert_runs_in_token_order();
}

fn plan(name: &'static str) -> RegionPlan {
    let plan = RegionPlan::new(name);
    RegionPlan {
        service_lines: "placement = \"churn\"",
        backend: BackendSettings {
            service_us: 5_000,
            ..plan.backend
        },
        ..plan
    }
}

/// Waits until the remaining hosts know each other, one of them is the controller and all serve.
async fn wait_for_stable_hosts(region: &Region) {
    region.controller().await;
    for daemon in &region.daemons {
        wait_until("the host knows the others", || async {
            daemon.metric("live_hosts").await == Some(region.daemons.len() as f64)
        })
        .await;
    }
    region.wait_serving().await;
}

/// For each shard, all servers that ever held a grant for it.
fn servers_by_shard(region: &Region) -> BTreeMap<u32, BTreeSet<usize>> {
    let mut found = BTreeMap::<u32, BTreeSet<usize>>::new();
    for (number, server) in region.servers.iter().enumerate() {
        for hold in server.intervals(SERVICE) {
            found.entry(hold.shard.0).or_default().insert(number);
        }
    }
    found
}

/// Shards of the requests that a server ran, except its first `first` requests.
fn shards_run_by(region: &Region, server: usize, first: usize) -> BTreeSet<u32> {
    let ledger = region.servers[server].ledger();
    let runs = ledger.iter().skip(first);
    runs.filter_map(|run| run.shard).collect()
}

/// Number of grants of a server that have not ended.
fn live_grants(region: &Region, server: usize) -> usize {
    let now = camphorcove_net::clock::BootClock.now();
    let holds = region.servers[server].intervals(SERVICE);
    holds.iter().filter(|hold| hold.until > now).count()
}

/// Outcomes of all requests.
#[derive(Debug, Default)]
struct Outcomes {
    answered: BTreeSet<String>,
    /// Answer by request id.
    not_run: BTreeMap<String, String>,
    other: Vec<String>,
}

impl Outcomes {
    fn refused(&self) -> Vec<String> {
        self.not_run.values().cloned().collect()
    }

    /// Fails unless every request was answered and ran once, or was refused and never ran.
    fn assert_complete(&self, region: &Region) {
        let (lost, first) = (self.other.len(), self.other.first());
        assert_eq!(
            lost, 0,
            "neither answered nor refused as not run: {first:?}"
        );
        let mut runs = HashMap::<String, usize>::new();
        for server in &region.servers {
            for id in server.ledger().into_iter().filter_map(|run| run.request_id) {
                *runs.entry(id).or_default() += 1;
            }
        }
        for id in &self.answered {
            assert_eq!(runs.get(id), Some(&1), "runs of the answered request {id}");
        }
        for id in self.not_run.keys() {
            assert_eq!(
                runs.get(id),
                None,
                "{id} ran although its caller was told not"
            );
        }
        println!(
            "{} answered, {} refused",
            self.answered.len(),
            self.not_run.len()
        );
    }
}

/// State shared by the callers. They act as a load balancer that may still send requests to a
/// host that is stopping.
#[derive(Clone, Debug, Default)]
struct LoadState {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    hosts: Arc<Mutex<Vec<SocketAddr>>>,
    outcomes: Arc<Mutex<Outcomes>>,
}

#[derive(Debug)]
struct Load {
    state: LoadState,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(region: &Region) -> Self {
        let state = LoadState::default();
        for daemon in &region.daemons {
            state.hosts.lock().expect("hosts").push(daemon.callers);
        }
        let callers = (0..CALLERS).map(|caller| tokio::spawn(state.clone().run(caller)));
        let callers = callers.collect();
        Self { state, callers }
    }

    fn add_host(&self, address: SocketAddr) {
        self.state.hosts.lock().expect("hosts").push(address);
    }

    fn remove_host(&self, address: SocketAddr) {
        let mut hosts = self.state.hosts.lock().expect("hosts");
        hosts.retain(|known| *known != address);
    }

    /// Waits until [`REQUESTS_PER_STEP`] more requests have been answered.
    async fn wait_for_step(&self) {
        let before = self.state.answered.load(Ordering::Relaxed);
        wait_until("the load is answered", || async {
            self.state.answered.load(Ordering::Relaxed) >= before + REQUESTS_PER_STEP
        })
        .await;
    }

    async fn finish(self) -> Outcomes {
        self.state.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.expect("caller");
        }
        std::mem::take(&mut *self.state.outcomes.lock().expect("outcomes"))
    }
}

impl LoadState {
    async fn run(self, caller: usize) {
        let client = CallerClient::default();
        for number in 0..MAX_REQUESTS {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            // Callers start at different keys and cycle through all of them.
            let key = format!("/load{}", (caller * KEYS / CALLERS + number) % KEYS);
            let id = format!("load-{caller}-{number}");
            self.send(&client, caller + number, &key, id).await;
        }
    }

    /// Sends a request that must not run twice. It is retried at another host only if nothing
    /// of it was sent.
    async fn send(&self, client: &CallerClient, turn: usize, key: &str, id: String) {
        for attempt in 0.. {
            let address = {
                let hosts = self.hosts.lock().expect("hosts");
                hosts[(turn + attempt) % hosts.len()]
            };
            let result = client.send(address, "POST", key, Some(&id)).await;
            if let Err(ExchangeError::NotSent { .. }) = result {
                // The delay limits the number of attempts while a stopped host is still listed.
                tokio::time::sleep(processes::POLL_INTERVAL).await;
                continue;
            }
            let mut outcomes = self.outcomes.lock().expect("outcomes");
            match result {
                Ok(sent) if sent.answered() => {
                    outcomes.answered.insert(id);
                    self.answered.fetch_add(1, Ordering::Relaxed);
                }
                Ok(sent) if sent.execution.as_deref() == Some("not-run") => {
                    let text = format!("{id} at {address}: {sent:?}");
                    outcomes.not_run.insert(id, text);
                }
                other => outcomes.other.push(format!("{id} at {address}: {other:?}")),
            }
            return;
        }
    }
}
