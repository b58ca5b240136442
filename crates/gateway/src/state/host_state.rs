//! The state that requests, watches and reports share.
//!
//! The program runs on one thread, so the lock is never contended; it is never held
//! across an await.

use {
    super::{
        BodyBudget, ChangeLog, FleetUpdate, LogGate, LogTopic, RevisionSpan, StoreFeed, StoreKind,
        StoreMarks,
    },
    crate::conf::GatewaySettings,
    bincode::{Decode, Encode},
    camphorcove_core::{
        dispatch::{AnswerKind, CallWindow, GaugeReading, HostCount, ServerGauge, ToldLoad},
        fleet::{FleetChange, FleetView, LapseGuard, RemovalRule, ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName},
        keys::KeyHash,
        ownership::{OwnerMap, OwnerState},
        routing::{RouteRule, RouteTable, SplitWheel},
        time::BootTime,
    },
    camphorcove_net::clock::BootClock,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Hosts assumed to share limits before the leader has counted them.
const HOSTS_AT_START: u32 = 10;

/// Longest time by which a change is dated back to the last digest before it: together
/// with the time for which a leaving server is still used, it stays below 2 s.
const BLIND_LIMIT: Duration = Duration::from_millis(700);

/// Time after which a server counts as unmeasured by other hosts: two reports missed.
const OTHERS_AGE_LIMIT: Duration = Duration::from_millis(1_000);

/// Counters of requests.
#[derive(Debug, Default)]
pub struct HostCounters {
    /// Requests read.
    pub requests: AtomicU64,
    /// Answers of servers passed on.
    pub answered: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Requests that failed after they were sent.
    pub failed: AtomicU64,
    /// Repeats sent.
    pub repeated: AtomicU64,
    /// Connections opened to servers.
    pub connections: AtomicU64,
    /// Calls to the store.
    pub store_calls: AtomicU64,
    /// Orders to servers.
    pub orders: AtomicU64,
}

/// Short name of a server in datagrams. A collision only blurs the load of two servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ServerTag(u32);

impl ServerTag {
    /// Tag of a server.
    pub fn of(server: &ServerId) -> Self {
        let bytes = KeyHash::of(server.as_str().as_bytes()).0.to_le_bytes();
        Self(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}

/// Load of one server as one host sees it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerLoad {
    /// Server.
    pub server: ServerTag,
    /// Requests of this host at the server.
    pub in_flight: u32,
    /// Successes since the last report.
    pub successes: u32,
    /// Their mean time at the server, in microseconds.
    pub mean_micros: u32,
}

/// What a host reports to the leader.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LoadReport {
    /// Loads of the servers with requests.
    pub servers: Vec<ServerLoad>,
    /// Requests by service and key since the last report.
    pub keys: Vec<(ServiceName, Vec<(u16, u32)>)>,
}

pub(super) struct StateInner {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) wheel: SplitWheel,
    pub(super) fleet: Arc<FleetView>,
    lapse_guard: LapseGuard,
    /// Latest changes of servers, for hosts that missed one.
    fleet_log: ChangeLog<FleetUpdate>,
    /// Revision after which this host knows every change of servers.
    fleet_from: u64,
    feed: StoreFeed,
    /// When this host last knew that it had missed nothing.
    current_at: BootTime,
    pub(super) fleet_listed: bool,
    pub(super) gauges: HashMap<ServerId, ServerGauge>,
    pub(super) windows: HashMap<ServiceName, CallWindow>,
    pub(super) owners: OwnerMap,
    pub(super) owner_state: Option<(Arc<OwnerState>, u64)>,
    pub(super) key_counts: BTreeMap<ServiceName, BTreeMap<u16, u32>>,
    /// Owners that refused a key as not theirs, until when they are not asked.
    pub(super) lapsed: HashMap<ServerId, BootTime>,
    pub(super) random: ChaCha8Rng,
    host_count: HostCount,
    others_at: BootTime,
    seen_through: StoreMarks,
    own_marks: StoreMarks,
    peer_marks: StoreMarks,
    log_gate: LogGate,
}

/// Shared state of one host.
pub struct HostState {
    /// Settings.
    pub settings: GatewaySettings,
    /// Clock of leases and deadlines.
    pub clock: BootClock,
    /// Number drawn at start.
    pub nonce: u64,
    /// Counters.
    pub counters: HostCounters,
    /// Memory of request bodies.
    pub bodies: Arc<BodyBudget>,
    /// Wakes requests that wait for a change of owner.
    pub owners_changed: Notify,
    /// Wakes watches that other hosts have overtaken.
    pub marks_changed: Notify,
    stopping: AtomicBool,
    leads: AtomicBool,
    inner: Mutex<StateInner>,
}

impl fmt::Debug for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostState")
            .field("host", &self.settings.host)
            .finish_non_exhaustive()
    }
}

impl HostState {
    /// State of a process that starts now.
    pub fn new(settings: GatewaySettings) -> Self {
        let mut random: ChaCha8Rng = rand::make_rng();
        let nonce = rand::RngExt::random(&mut random);
        let random = ChaCha8Rng::from_rng(&mut random);
        let bodies = Arc::new(BodyBudget::new(settings.memory_mb));
        Self {
            settings,
            clock: BootClock,
            nonce,
            counters: HostCounters::default(),
            bodies,
            owners_changed: Notify::new(),
            marks_changed: Notify::new(),
            stopping: AtomicBool::new(false),
            leads: AtomicBool::new(false),
            inner: Mutex::new(StateInner {
                table: None,
                wheel: SplitWheel::default(),
                fleet: Arc::default(),
                lapse_guard: LapseGuard::default(),
                fleet_log: ChangeLog::default(),
                fleet_from: 0,
                feed: StoreFeed::new(BootClock.now()),
                current_at: BootTime::default(),
                fleet_listed: false,
                gauges: HashMap::new(),
                windows: HashMap::new(),
                owners: OwnerMap::default(),
                owner_state: None,
                key_counts: BTreeMap::new(),
                lapsed: HashMap::new(),
                random,
                host_count: HostCount::default(),
                others_at: BootTime::default(),
                seen_through: StoreMarks::default(),
                own_marks: StoreMarks::default(),
                peer_marks: StoreMarks::default(),
                log_gate: LogGate::default(),
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time.
    pub fn now(&self) -> BootTime {
        self.clock.now()
    }

    /// A random fraction below 1.
    pub fn draw(&self) -> f64 {
        rand::RngExt::random(&mut self.lock().random)
    }

    /// A random number.
    pub fn draw_number(&self) -> u64 {
        rand::RngExt::random(&mut self.lock().random)
    }

    /// Whether a line of the topic may be logged; if so, how many were left out.
    pub fn may_log(&self, topic: LogTopic) -> Option<u64> {
        let now = self.now();
        self.lock().log_gate.pass(topic, now)
    }

    /// Begins the planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether this host can serve new callers.
    pub fn is_ready(&self) -> bool {
        let inner = self.lock();
        let Some(table) = &inner.table else {
            return false;
        };
        let keyed = table.services.values().any(|service| service.keyed);
        let owners = !keyed || inner.owner_state.is_some();
        !self.is_stopping() && inner.fleet_listed && owners
    }

    /// Configuration in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Puts a configuration in force; an older version is left out.
    pub fn set_table(&self, table: RouteTable) -> bool {
        let mut inner = self.lock();
        let newer = inner
            .table
            .as_ref()
            .is_none_or(|current| current.version < table.version);
        if newer {
            inner.wheel.reset();
            inner.table = Some(Arc::new(table));
        }
        newer
    }

    /// Counts a request and names the service that gets it.
    pub fn route_request(&self, rule: &RouteRule) -> ServiceName {
        let now = self.now();
        let mut inner = self.lock();
        let service = inner.wheel.next(rule);
        self.window(&mut inner, &service).count_request(now);
        service
    }

    /// Takes one repeat of a service; `false` if this host's part is spent.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let hosts = inner.host_count.known();
        self.window(&mut inner, service).take_repeat(hosts, now)
    }

    fn window<'i>(&self, inner: &'i mut StateInner, service: &ServiceName) -> &'i mut CallWindow {
        let settings = &self.settings;
        inner.windows.entry(service.clone()).or_insert_with(|| {
            CallWindow::new(
                settings.repeat_window,
                settings.repeat_ratio,
                settings.repeat_slack,
            )
        })
    }

    /// Takes changes of servers that this host's own watch shows, up to revision `to`.
    pub fn change_fleet(&self, put: Vec<ServerEntry>, removed: Vec<ServerId>, to: u64) {
        let from = self.lock().fleet_from;
        self.update_fleet(FleetUpdate {
            from,
            to,
            put,
            removed,
        });
    }

    /// Takes changes of servers; logs what changed.
    ///
    /// A change that does not continue what this host knows is left out.
    pub fn update_fleet(&self, update: FleetUpdate) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let through = inner.seen_through.get(StoreKind::Fleet);
        if through < update.from || through >= update.to {
            return false;
        }
        let rule = inner.removal_rule(update.removed.len(), now);
        let known_at = inner.known_at(now);
        let fleet = Arc::make_mut(&mut inner.fleet);
        let mut changes = Vec::new();
        for entry in &update.put {
            changes.extend(fleet.put(entry.clone(), known_at));
        }
        for id in &update.removed {
            changes.extend(fleet.remove(id, rule, known_at));
        }
        inner.apply_changes(&changes, now);
        inner.seen_through.raise(StoreKind::Fleet, update.to);
        inner.own_marks.raise(StoreKind::Fleet, update.to);
        inner.fleet_from = update.to;
        inner.fleet_log.push(update);
        true
    }

    /// Replaces all entries of servers by a list of the store.
    pub fn replace_fleet(&self, entries: Vec<ServerEntry>, span: RevisionSpan) {
        let now = self.now();
        let mut inner = self.lock();
        let removed = inner.fleet.unlisted(&entries);
        let rule = inner.removal_rule(removed.len(), now);
        let known = inner.fleet.clone();
        let differs = |entry: &&ServerEntry| known.get(&entry.id) != Some(*entry);
        let put: Vec<ServerEntry> = entries.iter().filter(differs).cloned().collect();
        let changes = Arc::make_mut(&mut inner.fleet).replace(entries, rule, now);
        inner.fleet_listed = true;
        inner.apply_changes(&changes, now);
        // Only a removal that no watch showed is newer than all objects of the list.
        let to = match removed.is_empty() {
            true => span.newest,
            false => span.through,
        };
        inner.seen_through.raise(StoreKind::Fleet, span.through);
        inner.own_marks.raise(StoreKind::Fleet, to);
        let from = inner.fleet_from;
        if from == 0 {
            // The first list does not tell what was removed before it.
            inner.fleet_from = span.through;
        } else if to > from {
            inner.fleet_from = to;
            inner.fleet_log.push(FleetUpdate {
                from,
                to,
                put,
                removed,
            });
        }
    }

    /// Changes of servers that lead on from `revision`, as far as they are known.
    pub fn fleet_updates(&self, revision: u64) -> Vec<Arc<FleetUpdate>> {
        self.lock().fleet_log.since(revision)
    }

    /// Revision through which this host has followed a kind.
    pub fn seen_through(&self, kind: StoreKind) -> u64 {
        self.lock().seen_through.get(kind)
    }

    /// Notes a digest of the leader, which says whether this host is to watch the store.
    pub fn note_digest(&self, direct: bool) {
        let now = self.now();
        let mut inner = self.lock();
        inner.feed.note_digest(direct, now);
        if inner.seen_through.get(StoreKind::Fleet) >= inner.peer_marks.get(StoreKind::Fleet) {
            inner.current_at = now;
        }
        drop(inner);
        if direct {
            self.marks_changed.notify_waiters();
        }
    }

    /// Notes whether this host leads; a leader watches the store.
    pub fn set_leads(&self, leads: bool) {
        self.leads.store(leads, Ordering::Relaxed);
        if leads {
            self.lock().feed.go_direct();
            self.marks_changed.notify_waiters();
        }
    }

    /// Whether this host leads.
    pub fn leads(&self) -> bool {
        self.leads.load(Ordering::Relaxed)
    }

    /// Whether this host watches the store although digests arrive.
    pub fn is_direct(&self) -> bool {
        self.lock().feed.is_direct()
    }

    /// Time for which the leader's news suffice; zero if the store has to be watched.
    pub fn feed_left(&self) -> Duration {
        let now = self.now();
        self.lock().feed.time_left(now)
    }

    /// Notes that the store answers again after an outage.
    pub fn note_store_returned(&self) {
        let now = self.now();
        self.lock().lapse_guard.store_returned(now);
    }

    /// Drops servers whose removal has been confirmed by time.
    pub fn expire_fleet(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let changes = Arc::make_mut(&mut inner.fleet).expire(now);
        inner.apply_changes(&changes, now);
    }

    /// Servers as known now.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.lock().fleet.clone()
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

    /// Reading of a server's gauge.
    pub fn reading(&self, server: &ServerId) -> Option<GaugeReading> {
        let now = self.now();
        self.lock().gauges.get(server).map(|gauge| gauge.read(now))
    }

    /// Expected time until a server answers.
    pub fn expected_time(&self, server: &ServerId) -> Duration {
        let seconds = self.reading(server).map_or(0.0, |reading| reading.expected);
        Duration::from_secs_f64(seconds)
    }

    /// Slots of a server; 1 if it is unknown.
    pub fn slots(&self, server: &ServerId) -> u32 {
        let inner = self.lock();
        inner.fleet.get(server).map_or(1, |entry| entry.slots)
    }

    /// Slots of all servers.
    pub fn slots_by_tag(&self) -> HashMap<ServerTag, u32> {
        let inner = self.lock();
        let entries = inner.fleet.entries();
        entries
            .map(|entry| (ServerTag::of(&entry.id), entry.slots))
            .collect()
    }

    /// Takes the stored assignment; an older revision is left out.
    pub fn set_owners(&self, state: OwnerState, revision: u64) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let known = inner.owner_state.as_ref().map(|(_, known)| *known);
        if known.is_some_and(|known| known >= revision) {
            return false;
        }
        let state = Arc::new(state);
        inner.owners.update(state.clone(), now);
        inner.lapsed.clear();
        inner.owner_state = Some((state, revision));
        drop(inner);
        self.owners_changed.notify_waiters();
        true
    }

    /// Stored assignment and its revision.
    pub fn owners(&self) -> Option<(Arc<OwnerState>, u64)> {
        self.lock().owner_state.clone()
    }

    /// Notes how far a kind was followed.
    pub fn note_seen(&self, kind: StoreKind, span: RevisionSpan) {
        let mut inner = self.lock();
        inner.seen_through.raise(kind, span.through);
        inner.own_marks.raise(kind, span.newest);
    }

    /// Notes that an object was seen as of `revision`.
    pub fn note_revision(&self, kind: StoreKind, revision: u64) {
        let span = RevisionSpan {
            from: revision,
            through: revision,
            newest: revision,
        };
        self.note_seen(kind, span);
    }

    /// Newest changes that this host has seen.
    pub fn marks(&self) -> StoreMarks {
        self.lock().own_marks
    }

    /// Revisions through which this host has followed the store.
    pub fn all_seen(&self) -> StoreMarks {
        self.lock().seen_through
    }

    /// Newest change of a kind that other hosts have seen.
    pub fn peer_mark(&self, kind: StoreKind) -> u64 {
        self.lock().peer_marks.get(kind)
    }

    /// Takes the newest changes that other hosts have seen.
    pub fn set_peer_marks(&self, marks: &StoreMarks) {
        let mut inner = self.lock();
        let before = inner.peer_marks;
        inner.peer_marks.merge(marks);
        let changed = inner.peer_marks != before;
        drop(inner);
        if changed {
            self.marks_changed.notify_waiters();
        }
    }

    /// Whether other hosts have seen a change of the kind that this one has not.
    pub fn is_behind(&self, kind: StoreKind) -> bool {
        let inner = self.lock();
        inner.seen_through.get(kind) < inner.peer_marks.get(kind)
    }

    /// Number of hosts, and the requests of other hosts at each server.
    pub fn set_others(&self, hosts: Option<u32>, totals: &[(ServerTag, u32)]) {
        let now = self.now();
        let window = self.settings.repeat_window;
        let mut inner = self.lock();
        if let Some(hosts) = hosts {
            inner.host_count.note(hosts, window, now);
        }
        inner.others_at = now;
        let totals: HashMap<ServerTag, u32> = totals.iter().copied().collect();
        for (id, gauge) in &mut inner.gauges {
            let total = totals.get(&ServerTag::of(id)).copied().unwrap_or(0);
            gauge.set_others(total.saturating_sub(gauge.reported()));
        }
    }

    /// Forgets the requests of other hosts when no digest arrives any more.
    pub fn expire_others(&self) {
        let now = self.now();
        let mut inner = self.lock();
        if now.since(inner.others_at) < OTHERS_AGE_LIMIT {
            return;
        }
        for gauge in inner.gauges.values_mut() {
            gauge.set_others(0);
        }
    }

    /// Hosts that share limits.
    pub fn hosts(&self) -> u32 {
        self.lock().host_count.known().unwrap_or(HOSTS_AT_START)
    }

    /// What is to be reported to the leader since the last call.
    pub fn take_report(&self) -> LoadReport {
        let mut inner = self.lock();
        let mut servers = Vec::new();
        for (id, gauge) in &mut inner.gauges {
            let (successes, mean) = gauge.take_period();
            let in_flight = gauge.take_reported();
            if successes == 0 && in_flight == 0 {
                continue;
            }
            servers.push(ServerLoad {
                server: ServerTag::of(id),
                in_flight,
                successes,
                mean_micros: (mean * 1e6) as u32,
            });
        }
        let keys = std::mem::take(&mut inner.key_counts)
            .into_iter()
            .map(|(service, keys)| (service, keys.into_iter().collect()))
            .collect();
        LoadReport { servers, keys }
    }

    /// Takes the end of an exchange with a server.
    pub fn exchange_ended(
        &self,
        server: &ServerId,
        kind: AnswerKind,
        load: Option<ToldLoad>,
        latency: Duration,
    ) {
        let now = self.now();
        let mut inner = self.lock();
        let Some(gauge) = inner.gauges.get_mut(server) else {
            return;
        };
        gauge.ended(kind, latency, now);
        if let Some(load) = load {
            gauge.told(load, now);
        }
    }
}

impl StateInner {
    /// When a change that is learned now may have happened, at the earliest.
    fn known_at(&self, now: BootTime) -> BootTime {
        match self.feed.is_direct() {
            true => now,
            false => now.back(BLIND_LIMIT.min(now.since(self.current_at))),
        }
    }

    fn removal_rule(&self, removed: usize, now: BootTime) -> RemovalRule {
        let entries = self.fleet.entries();
        let ready = entries.filter(|entry| entry.phase == ServerPhase::Ready);
        self.lapse_guard.rule(removed, ready.count(), now)
    }

    fn apply_changes(&mut self, changes: &[FleetChange], now: BootTime) {
        for change in changes {
            match change {
                FleetChange::Joined(entry) => {
                    let gauge = ServerGauge::new(entry.slots, entry.warmup, now);
                    self.gauges.insert(entry.id.clone(), gauge);
                    log::info!(
                        server = entry.id.as_str(),
                        service = entry.service.as_str(),
                        incarnation = entry.incarnation,
                        address:% = entry.address;
                        "server joined"
                    );
                }
                FleetChange::Draining(id) => {
                    log::info!(server = id.as_str(); "server drains");
                }
                FleetChange::Removed(id) => {
                    log::info!(server = id.as_str(); "server entry removed, no new requests");
                }
                FleetChange::Missing(id, until) => {
                    let held_ms = until.since(now).as_millis();
                    log::info!(
                        server = id.as_str(),
                        held_ms:% = held_ms;
                        "server entry missing after an outage, held for a moment"
                    );
                }
                FleetChange::Left(id) => {
                    self.gauges.remove(id);
                    log::info!(server = id.as_str(); "server left");
                }
            }
        }
    }
}
