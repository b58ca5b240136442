//! State that request handling, store watches and reports share.
//!
//! The program runs on one thread and never holds the lock across an await, so the lock is
//! never contended.

use {
    super::{
        BodyBudget, ChangeLog, ConfigCopy, FleetUpdate, HostCounters, LogRateLimiter, LogTopic,
        PlannedStop, SeenVersions, ServerHash, StoreContact, StoreFeed, StoreKind,
        admission_tracking::AdmissionTracking, evacuation_tracking::EvacuationTracking,
        relay_peers::RelayPeers, suspect_news::SuspectOutbox, warmup_tracking::WarmupTracking,
        zone_tracking::ZoneTraffic,
    },
    crate::conf::GatewaySettings,
    camphorcove_core::{
        dispatch::{
            GaugeReading, HostCount, PauseTable, ReportedLoad, RequestOutcome, RetryWindow,
            ServerGauge, ServerReach,
        },
        fleet::{FleetView, OutageGuard},
        ids::{ServerId, ServiceName, StoreVersion},
        ownership::{OwnerMap, OwnerState, RefusalTable},
        quarantine::SuspectTable,
        routing::{RouteRule, RouteTable, WeightedRoundRobin},
        time::BootTime,
    },
    camphorcove_net::clock::BootClock,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Number of hosts assumed to share limits until the leader has counted them.
const ASSUMED_HOST_COUNT: u32 = 10;

/// Age at which the load of other hosts is discarded: two reports are missing then.
const REMOTE_LOAD_MAX_AGE: Duration = Duration::from_millis(1_000);

pub(super) struct StateInner {
    /// Configuration in force.
    pub(super) table: Option<Arc<RouteTable>>,
    /// The same configuration as the operator wrote it, for other hosts.
    pub(super) config_copy: Option<Arc<ConfigCopy>>,
    pub(super) round_robin: WeightedRoundRobin,
    pub(super) fleet: Arc<FleetView>,
    pub(super) outage_guard: OutageGuard,
    pub(super) evacuations: EvacuationTracking,
    /// Recent fleet updates, for hosts that missed one.
    pub(super) fleet_log: ChangeLog<FleetUpdate>,
    /// Version at which `fleet_log` ends and the next fleet update starts.
    pub(super) fleet_log_end: StoreVersion,
    /// Whether changes come from the leader or from this host's own watch.
    pub(super) feed: StoreFeed,
    /// Whether this host's own calls to the store succeed.
    pub(super) store_contact: StoreContact,
    /// Latest epoch of the store that this host has seen.
    pub(super) store_epoch: Option<u64>,
    /// When this host last noticed that the store has lost writes.
    pub(super) lost_writes_at: Option<BootTime>,
    /// When a digest last showed that this host had missed no fleet update.
    pub(super) last_in_sync_at: BootTime,
    /// The server entries have been listed at least once.
    pub(super) fleet_listed: bool,
    pub(super) gauges: HashMap<ServerId, ServerGauge>,
    pub(super) retry_windows: HashMap<ServiceName, RetryWindow>,
    pub(super) owners: OwnerMap,
    /// Latest known assignment and its version.
    pub(super) owner_state: Option<(Arc<OwnerState>, StoreVersion)>,
    /// Version of the last assignment that this host has heard of before the store lost writes.
    pub(super) remembered_owners: StoreVersion,
    /// Requests per service and key since the last report.
    pub(super) key_counts: BTreeMap<ServiceName, BTreeMap<u16, u32>>,
    /// Keys that servers have refused as not their own.
    pub(super) owner_refusals: RefusalTable,
    /// Servers that want no requests from this host for a time.
    pub(super) pauses: PauseTable,
    pub(super) random: ChaCha8Rng,
    pub(super) host_count: HostCount,
    /// When a digest last set the load of other hosts.
    pub(super) remote_load_at: BootTime,
    /// Versions through which this host knows all changes.
    pub(super) seen_through: SeenVersions,
    /// Versions of the newest changes that this host has seen.
    pub(super) own_versions: SeenVersions,
    /// Versions of the newest changes that other hosts have seen.
    pub(super) peer_versions: SeenVersions,
    pub(super) log_rate_limiter: LogRateLimiter,
    /// Whether this host reaches servers.
    pub(super) server_reach: ServerReach,
    /// Hosts that may send requests to servers for this one.
    pub(super) relay_peers: RelayPeers,
    /// Admission by rank and hot key.
    pub(super) admission: AdmissionTracking,
    pub(super) suspects: SuspectTable,
    pub(super) suspect_outbox: SuspectOutbox,
    pub(super) warmups: WarmupTracking,
    /// Requests by zone, and the leader's decision where they go.
    pub(super) zone_traffic: ZoneTraffic,
}

/// Shared state of one host.
pub struct HostState {
    /// Settings of this host.
    pub settings: GatewaySettings,
    /// Clock of leases and deadlines.
    pub clock: BootClock,
    /// Random number that identifies this process to other hosts.
    pub nonce: u64,
    /// Event counters for the metrics page.
    pub counters: HostCounters,
    /// Limit of the memory for request bodies.
    pub body_budget: Arc<BodyBudget>,
    /// Wakes requests that wait for a new owner of their key.
    pub owners_changed: Notify,
    /// Wakes the store followers when newer versions are known or this host has to watch the
    /// store.
    pub versions_changed: Notify,
    /// Wakes the task that sends news of suspected requests to other hosts.
    pub suspects_changed: Notify,
    /// Wakes the task that checks whether this host reaches servers.
    pub reach_doubted: Notify,
    /// Phases of the planned stop.
    pub stop: PlannedStop,
    pub(super) is_leader: AtomicBool,
    inner: Mutex<StateInner>,
}

impl fmt::Debug for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostState")
            .field("host", &self.settings.host)
            .finish_non_exhaustive()
    }
}

impl StateInner {
    /// Number of hosts that share limits.
    pub(super) fn hosts(&self) -> u32 {
        self.host_count.value().unwrap_or(ASSUMED_HOST_COUNT)
    }

    /// Remembers that this version of the assignment existed.
    pub(super) fn remember_owners(&mut self, version: StoreVersion) {
        self.remembered_owners = self.remembered_owners.max(version);
    }
}

impl HostState {
    /// Creates the state at process start.
    pub fn new(settings: GatewaySettings) -> Self {
        let mut random: ChaCha8Rng = rand::make_rng();
        let nonce = rand::RngExt::random(&mut random);
        let mut random = ChaCha8Rng::from_rng(&mut random);
        let round_robin = WeightedRoundRobin::with_phase(rand::RngExt::random(&mut random));
        let body_budget = Arc::new(BodyBudget::new(settings.memory_mb));
        let stop = PlannedStop::new(settings.stop_limit);
        let evacuations = EvacuationTracking::new(settings.evacuation_limit, BootClock.now());
        let warmups = WarmupTracking::new(&settings);
        let zone_traffic = ZoneTraffic::new(&settings);
        Self {
            settings,
            clock: BootClock,
            nonce,
            counters: HostCounters::default(),
            body_budget,
            owners_changed: Notify::new(),
            versions_changed: Notify::new(),
            suspects_changed: Notify::new(),
            reach_doubted: Notify::new(),
            stop,
            is_leader: AtomicBool::new(false),
            inner: Mutex::new(StateInner {
                table: None,
                config_copy: None,
                round_robin,
                fleet: Arc::default(),
                outage_guard: OutageGuard::default(),
                evacuations,
                fleet_log: ChangeLog::default(),
                fleet_log_end: StoreVersion::default(),
                feed: StoreFeed::new(BootClock.now()),
                store_contact: StoreContact::default(),
                store_epoch: None,
                lost_writes_at: None,
                last_in_sync_at: BootTime::default(),
                fleet_listed: false,
                gauges: HashMap::new(),
                retry_windows: HashMap::new(),
                owners: OwnerMap::default(),
                owner_state: None,
                remembered_owners: StoreVersion::default(),
                key_counts: BTreeMap::new(),
                owner_refusals: RefusalTable::default(),
                pauses: PauseTable::default(),
                random,
                host_count: HostCount::default(),
                remote_load_at: BootTime::default(),
                seen_through: SeenVersions::default(),
                own_versions: SeenVersions::default(),
                peer_versions: SeenVersions::default(),
                log_rate_limiter: LogRateLimiter::default(),
                server_reach: ServerReach::default(),
                relay_peers: RelayPeers::default(),
                admission: AdmissionTracking::default(),
                suspects: SuspectTable::default(),
                suspect_outbox: SuspectOutbox::default(),
                warmups,
                zone_traffic,
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time of `clock`.
    pub fn now(&self) -> BootTime {
        self.clock.now()
    }

    /// Random number in 0..1.
    pub fn random_fraction(&self) -> f64 {
        rand::RngExt::random(&mut self.lock().random)
    }

    /// Random 64-bit number.
    pub fn random_u64(&self) -> u64 {
        rand::RngExt::random(&mut self.lock().random)
    }

    /// Whether a line of the topic may be logged. If so, returns how many lines were
    /// suppressed before it.
    pub fn may_log(&self, topic: LogTopic) -> Option<u64> {
        let now = self.now();
        self.lock().log_rate_limiter.allow(topic, now)
    }

    /// Starts the planned shutdown.
    pub fn begin_stop(&self) {
        self.stop.begin(self.now());
        self.end_slot_waits();
    }

    /// Whether the planned shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Whether the shutdown has come so far that no further request is sent to a server.
    pub fn refuses_requests(&self) -> bool {
        self.stop.last_start().is_some_and(|end| self.now() >= end)
    }

    /// Whether this host can serve new callers. One that reaches no servers needs other hosts for that.
    pub fn is_ready(&self) -> bool {
        if self.lacks_servers() && self.choose_relay_peers(1).is_empty() {
            return false;
        }
        let inner = self.lock();
        let Some(table) = &inner.table else {
            return false;
        };
        let keyed = table.services.values().any(|service| service.keyed);
        let owners = !keyed || inner.owner_state.is_some();
        let evacuations = inner.evacuations.is_ready(self.now());
        !self.is_stopping() && inner.fleet_listed && owners && evacuations
    }

    /// Selects the service for a request by weighted round robin.
    pub fn choose_service(&self, rule: &RouteRule) -> ServiceName {
        self.lock().round_robin.next(rule)
    }

    /// Selects the service for a request by weighted round robin, and counts the request.
    pub fn route_request(&self, rule: &RouteRule) -> ServiceName {
        let now = self.now();
        let mut inner = self.lock();
        let service = inner.round_robin.next(rule);
        self.window(&mut inner, &service).count_request(now);
        inner.zone_traffic.count_request(&service);
        service
    }

    /// Reserves one retry for a service; `false` if this host's share of retries is used up.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let hosts = inner.host_count.value();
        self.window(&mut inner, service).try_retry(hosts, now)
    }

    fn window<'i>(&self, inner: &'i mut StateInner, service: &ServiceName) -> &'i mut RetryWindow {
        let settings = &self.settings;
        inner
            .retry_windows
            .entry(service.clone())
            .or_insert_with(|| {
                RetryWindow::new(
                    settings.retry_window,
                    settings.retry_ratio,
                    settings.retry_slack,
                )
            })
    }

    /// Load at which each server is fully busy, in requests a second.
    pub fn server_rates(&self) -> HashMap<ServerId, f32> {
        let now = self.now();
        let inner = self.lock();
        let rate = |gauge: &ServerGauge| {
            let reading = gauge.read(now);
            (f64::from(reading.slots) / reading.service_time.max(0.001)) as f32
        };
        inner
            .gauges
            .iter()
            .map(|(id, gauge)| (id.clone(), rate(gauge)))
            .collect()
    }

    /// Current load reading of a server.
    pub fn load_reading(&self, server: &ServerId) -> Option<GaugeReading> {
        let now = self.now();
        self.lock().gauges.get(server).map(|gauge| gauge.read(now))
    }

    /// Expected time until a server answers.
    pub fn expected_time(&self, server: &ServerId) -> Duration {
        let seconds = self
            .load_reading(server)
            .map_or(0.0, |reading| reading.expected);
        Duration::from_secs_f64(seconds)
    }

    /// Number of concurrent requests that a server takes; 1 if the server is unknown.
    pub fn slots(&self, server: &ServerId) -> u32 {
        let inner = self.lock();
        inner.fleet.get(server).map_or(1, |entry| entry.slots)
    }

    /// Slots of all servers by the hash of their ids.
    pub fn slots_by_hash(&self) -> HashMap<ServerHash, u32> {
        let inner = self.lock();
        let entries = inner.fleet.entries();
        entries
            .map(|entry| (ServerHash::of(&entry.id), entry.slots))
            .collect()
    }

    /// Adopts an assignment if its version is newer, unless it is an earlier one that the store holds
    /// again after it has lost writes; returns whether it was adopted.
    pub fn set_owners(&self, state: OwnerState, version: StoreVersion) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let known = inner.owner_state.as_ref().map(|(_, known)| *known);
        let knows_newer =
            |(known, _): &(Arc<OwnerState>, StoreVersion)| known.is_newer_than(&state);
        if known.is_some_and(|known| known >= version)
            || inner.owner_state.as_ref().is_some_and(knows_newer)
        {
            return false;
        }
        let heard = inner.peer_versions.get(StoreKind::Owners);
        for earlier in known.into_iter().chain([heard]) {
            if earlier.epoch < version.epoch {
                inner.remember_owners(earlier);
            }
        }
        let state = Arc::new(state);
        inner.owners.update(state.clone(), now);
        inner.owner_refusals.clear();
        inner.owner_state = Some((state, version));
        drop(inner);
        self.owners_changed.notify_waiters();
        self.end_slot_waits();
        true
    }

    /// Version of the last assignment that this host has heard of before the store lost writes. The host may
    /// have missed that assignment itself.
    pub fn remembered_owners(&self) -> StoreVersion {
        let inner = self.lock();
        let held = inner.owner_state.as_ref().map(|(_, version)| *version);
        let heard = inner.peer_versions.get(StoreKind::Owners);
        let epoch = inner.store_epoch.unwrap_or_default();
        // No assignment of the new epoch has been adopted yet.
        let earlier = held.into_iter().chain([heard]);
        let remembered = earlier.filter(|version| version.epoch < epoch).max();
        remembered.map_or(inner.remembered_owners, |remembered| {
            remembered.max(inner.remembered_owners)
        })
    }

    /// Latest known assignment and its version.
    pub fn owners(&self) -> Option<(Arc<OwnerState>, StoreVersion)> {
        self.lock().owner_state.clone()
    }

    /// Sets the number of hosts and the requests that other hosts have at each server.
    pub fn set_remote_load(&self, hosts: Option<u32>, totals: &[(ServerHash, u32)]) {
        let now = self.now();
        let window = self.settings.retry_window;
        let mut inner = self.lock();
        if let Some(hosts) = hosts {
            inner.host_count.record_hosts(hosts, window, now);
        }
        inner.remote_load_at = now;
        let totals: HashMap<ServerHash, u32> = totals.iter().copied().collect();
        for (id, gauge) in &mut inner.gauges {
            let total = totals.get(&ServerHash::of(id)).copied().unwrap_or(0);
            gauge.set_remote_load(total.saturating_sub(gauge.published_in_flight()));
        }
        inner.admission.slot_waits.wake_all();
    }

    /// Discards the load of other hosts if no digest has arrived recently.
    pub fn expire_remote_load(&self) {
        let now = self.now();
        let mut inner = self.lock();
        if now.since(inner.remote_load_at) < REMOTE_LOAD_MAX_AGE {
            return;
        }
        for gauge in inner.gauges.values_mut() {
            gauge.set_remote_load(0);
        }
    }

    /// Number of hosts that share limits.
    pub fn hosts(&self) -> u32 {
        self.lock().hosts()
    }

    /// Records the result of a request in the server's gauge.
    pub fn record_exchange_end(
        &self,
        server: &ServerId,
        outcome: RequestOutcome,
        load: Option<ReportedLoad>,
        latency: Duration,
    ) {
        let now = self.now();
        let mut inner = self.lock();
        let Some(gauge) = inner.gauges.get_mut(server) else {
            return;
        };
        if let Some(load) = load {
            gauge.record_work_time(load.work_time, now);
        }
        gauge.record_ended(outcome, latency, now);
        if let Some(load) = load {
            gauge.record_reported_load(load, now);
        }
        if outcome == RequestOutcome::Success {
            inner.owner_refusals.record_served(server);
        }
        inner.admission.slot_waits.record_free_slot(server);
    }
}
