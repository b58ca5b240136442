//! Decides which hosts to poll for which scopes and runs the polls.
//!
//! A relay polls the controllers. Any other host polls one relay of its zone and
//! fails over to the zone's other relay. When a host's map of a scope is about to
//! expire, the host polls other known hosts as well, because the scope may have a
//! new controller.

use {
    super::{
        MapContext,
        poll_client::{PollClient, PollMode},
        relay_selection::{is_relay, upstream_relays},
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

/// Interval at which the poll plan is recomputed.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay between an answered poll and the next poll of the same host.
const POLL_DELAY: Duration = Duration::from_millis(25);

/// A relay is avoided for this long after a poll of it failed.
const FAILED_RELAY_COOLDOWN: Duration = Duration::from_secs(3);

/// When the remaining validity of a scope's map is shorter than this, other hosts are
/// searched for a newer one.
///
/// A map whose validity is extended every `POLL_MAX_WAIT` never comes this close to its end.
const SEARCH_THRESHOLD: Duration = Duration::from_millis(1_400);

/// Timeout of one search.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of hosts polled in one search.
const SEARCH_HOSTS_MAX: usize = 16;

/// Scopes to poll for by upstream host.
type PollPlan = BTreeMap<HostId, Vec<ServiceName>>;

/// Runs the polls of this host: one loop per upstream host of the plan, and searches.
#[derive(Clone, Debug)]
pub struct PollScheduler {
    inner: Arc<SchedulerInner>,
}

#[derive(Debug)]
struct SchedulerInner {
    context: Arc<MapContext>,
    plan: Mutex<Arc<PollPlan>>,
    /// Upstream hosts that have a running poll loop.
    running: Mutex<HashSet<HostId>>,
    /// Time of the last failed poll by upstream host; removed by a successful poll.
    failures: Mutex<HashMap<HostId, BootTime>>,
}

impl PollScheduler {
    /// Creates a scheduler with an empty plan.
    pub fn new(context: Arc<MapContext>) -> Self {
        let inner = SchedulerInner {
            context,
            plan: Mutex::default(),
            running: Mutex::default(),
            failures: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Runs polls and searches until the process ends.
    pub async fn run(self) {
        tokio::spawn(self.clone().search_loop());
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.update_plan();
        }
    }

    /// Whether this host is a relay, which polls controllers itself.
    pub fn is_relay(&self) -> bool {
        let context = &self.inner.context;
        is_relay(&context.local_peer(), &context.known_hosts())
    }

    fn update_plan(&self) {
        let context = &self.inner.context;
        let live = context.live_hosts();
        if *context.config.peers() != live {
            context.config.set_peers(live);
        }
        let known = context.known_hosts();
        let plan = self.build_plan(&known);
        *lock(&self.inner.plan) = Arc::new(plan.clone());
        for upstream in known {
            let id = &upstream.host.id;
            if plan.contains_key(id) && lock(&self.inner.running).insert(id.clone()) {
                tokio::spawn(self.clone().poll_loop(upstream));
            }
        }
    }

    fn build_plan(&self, known: &[PeerAddress]) -> PollPlan {
        let context = &self.inner.context;
        let this_host = context.local_peer();
        let controlled = context.controlled_scopes();
        let mut services = context.services();
        services.retain(|service| !controlled.contains(service));
        let mut plan = PollPlan::new();
        if !is_relay(&this_host, known) {
            let relays = upstream_relays(&this_host, known);
            if let Some(relay) = relays
                .into_iter()
                .find(|relay| !self.failed_recently(relay))
            {
                plan.insert(relay, services);
                return plan;
            }
        }
        for service in services {
            let controller = context.hints.controller(&service);
            let Some(controller) = controller.filter(|host| *host != this_host.host.id) else {
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
                    sleep(POLL_DELAY).await;
                }
                Err(error) => {
                    log::debug!(upstream = id.as_str(); "poll failed: {error}");
                    let now = self.inner.context.now();
                    lock(&self.inner.failures).insert(id.clone(), now);
                    sleep(RETRY_DELAY).await;
                    // The host may have restarted at another address; the next plan has it.
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
            let expiring = self.expiring_scopes();
            let no_config = self.inner.context.config.config().is_none();
            if !expiring.is_empty() || no_config {
                let _ = timeout(SEARCH_TIMEOUT, self.search(&expiring)).await;
            }
        }
    }

    fn expiring_scopes(&self) -> Vec<ServiceName> {
        let context = &self.inner.context;
        let now = context.now();
        let controlled = context.controlled_scopes();
        let mut expiring = context.services();
        expiring.retain(|service| {
            let timed_map = context.maps.stored(service);
            let remaining = timed_map.map(|timed_map| timed_map.valid_until.since(now));
            !controlled.contains(service)
                && remaining.is_none_or(|remaining| remaining < SEARCH_THRESHOLD)
        });
        expiring
    }

    async fn search(&self, expiring: &[ServiceName]) {
        let context = &self.inner.context;
        let mut hosts = context.known_hosts();
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
        let polls = hosts.into_iter().map(|host| {
            let mut client = PollClient::new(context.clone(), host);
            async move {
                let _ = client.poll(expiring, mode).await;
            }
        });
        futures_util::future::join_all(polls).await;
    }

    fn failed_recently(&self, host: &HostId) -> bool {
        let now = self.inner.context.now();
        let failures = lock(&self.inner.failures);
        failures
            .get(host)
            .is_some_and(|failed_at| now.since(*failed_at) < FAILED_RELAY_COOLDOWN)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
