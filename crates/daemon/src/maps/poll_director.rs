//! Decides which host to poll for which scope.
//!
//! A relay polls the controllers. Another host polls one relay of its zone, and
//! the other relay if that one fails. A host whose map of a scope runs out asks
//! all the hosts it knows, because the scope may have a new controller.

use {
    super::{
        MapContext,
        poll_client::{PollClient, PollMode},
        relay_choice::{is_relay, upstream_relays},
    },
    camphorcove_core::{
        ids::{HostId, ServiceName},
        time::BootTime,
    },
    camphorcove_net::peer::PeerAddress,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval, sleep, timeout},
};

/// Interval at which the plan is made anew.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a failed poll.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Shortest time between two polls of one host.
const POLL_SPACING: Duration = Duration::from_millis(25);

/// A relay that failed is not preferred again for this long.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// A scope whose map ends sooner than this is searched for at other hosts.
///
/// A map that is prolonged every `POLL_HOLD` never comes this close to its end.
const SEARCH_BELOW: Duration = Duration::from_millis(1_400);

/// Longest time for the questions of one search.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Hosts asked in one search.
const SEARCH_HOSTS_MAX: usize = 16;

/// Scopes to poll for, by upstream host.
type PollPlan = BTreeMap<HostId, Vec<ServiceName>>;

/// Runs the polls of this host.
#[derive(Clone, Debug)]
pub struct PollDirector {
    inner: Arc<DirectorInner>,
}

#[derive(Debug)]
struct DirectorInner {
    context: Arc<MapContext>,
    plan: Mutex<Arc<PollPlan>>,
    running: Mutex<HashSet<HostId>>,
    failures: Mutex<HashMap<HostId, BootTime>>,
}

impl PollDirector {
    /// Director without a plan.
    pub fn new(context: Arc<MapContext>) -> Self {
        let inner = DirectorInner {
            context,
            plan: Mutex::default(),
            running: Mutex::default(),
            failures: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Polls until the process ends.
    pub async fn run(self) {
        tokio::spawn(self.clone().search_loop());
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.update();
        }
    }

    /// Whether this host polls controllers itself.
    pub fn is_relay(&self) -> bool {
        let context = &self.inner.context;
        is_relay(&context.me(), &context.known())
    }

    fn update(&self) {
        let context = &self.inner.context;
        let live = context.live();
        if *context.config.peers() != live {
            context.config.set_peers(live);
        }
        let known = context.known();
        let plan = self.plan(&known);
        *lock(&self.inner.plan) = Arc::new(plan.clone());
        for upstream in known {
            let id = &upstream.host.id;
            if plan.contains_key(id) && lock(&self.inner.running).insert(id.clone()) {
                tokio::spawn(self.clone().poll_loop(upstream));
            }
        }
    }

    fn plan(&self, known: &[PeerAddress]) -> PollPlan {
        let context = &self.inner.context;
        let me = context.me();
        let controls = context.controls();
        let mut services = context.services();
        services.retain(|service| !controls.contains(service));
        let mut plan = PollPlan::new();
        if !is_relay(&me, known) {
            let relays = upstream_relays(&me, known);
            if let Some(relay) = relays.into_iter().find(|relay| !self.failed(relay)) {
                plan.insert(relay, services);
                return plan;
            }
        }
        for service in services {
            let controller = context.hints.controller(&service);
            let Some(controller) = controller.filter(|host| *host != me.host.id) else {
                continue;
            };
            plan.entry(controller).or_default().push(service);
        }
        plan
    }

    async fn poll_loop(self, upstream: PeerAddress) {
        let id = upstream.host.id.clone();
        let mut client = PollClient::new(self.inner.context.clone(), upstream);
        loop {
            let plan = lock(&self.inner.plan).clone();
            let Some(scopes) = plan.get(&id) else {
                break;
            };
            let mode = PollMode {
                relay: self.is_relay(),
                urgent: false,
            };
            match client.poll(scopes, mode).await {
                Ok(()) => {
                    lock(&self.inner.failures).remove(&id);
                    sleep(POLL_SPACING).await;
                }
                Err(error) => {
                    log::debug!(upstream = id.as_str(); "poll failed: {error}");
                    let now = self.inner.context.now();
                    lock(&self.inner.failures).insert(id.clone(), now);
                    sleep(FAILURE_PAUSE).await;
                    // The host may have come back at another address.
                    break;
                }
            }
        }
        lock(&self.inner.running).remove(&id);
    }

    async fn search_loop(self) {
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let missing = self.missing();
            let no_config = self.inner.context.config.config().is_none();
            if !missing.is_empty() || no_config {
                let _ = timeout(SEARCH_TIMEOUT, self.search(&missing)).await;
            }
        }
    }

    fn missing(&self) -> Vec<ServiceName> {
        let context = &self.inner.context;
        let now = context.now();
        let controls = context.controls();
        let mut missing = context.services();
        missing.retain(|service| {
            let held = context.maps.held(service);
            let left = held.map(|held| held.valid_until.since(now));
            !controls.contains(service) && left.is_none_or(|left| left < SEARCH_BELOW)
        });
        missing
    }

    async fn search(&self, missing: &[ServiceName]) {
        let context = &self.inner.context;
        let mut hosts = context.known();
        hosts.retain(|host| host.host.id != context.host.id);
        if hosts.len() > SEARCH_HOSTS_MAX {
            let offset = usize::try_from(context.now().as_millis()).unwrap_or(0) % hosts.len();
            hosts.rotate_left(offset);
            hosts.truncate(SEARCH_HOSTS_MAX);
        }
        let mode = PollMode {
            relay: true,
            urgent: true,
        };
        let questions = hosts.into_iter().map(|host| {
            let mut client = PollClient::new(context.clone(), host);
            async move {
                let _ = client.poll(missing, mode).await;
            }
        });
        futures_util::future::join_all(questions).await;
    }

    fn failed(&self, host: &HostId) -> bool {
        let now = self.inner.context.now();
        let failures = lock(&self.inner.failures);
        failures
            .get(host)
            .is_some_and(|failed| now.since(*failed) < FAILURE_MEMORY)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
