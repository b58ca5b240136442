//! The actor that elects, runs and follows the leader on this host.

use {
    super::{
        candidacy::Candidacy,
        host_table::HostTable,
        leader_messages::{ConfirmEnded, ConfirmOutcome, WriteEnded},
        limit_table::LimitTable,
        memory_check::MemoryCheck,
        order_sender::OrderSender,
        owner_store::OwnerStore,
        owner_update::OwnerUpdate,
        warmup_table::WarmupTable,
        zone_planning::ZonePlanning,
    },
    crate::{
        peers::PeerLink,
        state::{ChangeLog, HostState, SeenVersions, ServerHash, StoreKind},
    },
    camphorcove_core::{
        ids::{ServerId, ServiceName, StoreVersion},
        ownership::{
            ElectorList, ElectorSource, OwnerState, OwnershipPlanner, PlanAction, PlanContext,
            Predecessor, PredecessorWatch, RangeLoad, ServerInstance,
        },
        time::BootTime,
    },
    camphorcove_platform::StoreClient,
    kameo::{Reply, actor::ActorRef},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Tick interval of the leader. A change of owner takes a few ticks, so it is short.
const LEADER_TICK: Duration = Duration::from_millis(25);

/// Tick interval of hosts that do not lead.
const FOLLOWER_TICK: Duration = Duration::from_millis(125);

/// Interval at which the leader checks in the store that it is still the leader.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval of these checks after a failed one.
const CONFIRM_RETRY: Duration = Duration::from_millis(300);

/// Consecutive failed checks after which the leader's digests say that it does not reach
/// the store.
pub(super) const CONFIRM_FAILURES: u32 = 2;

/// Shortest time for which a host leads before it resigns in favour of a larger host.
const MIN_TERM_BEFORE_RESIGNATION: Duration = Duration::from_secs(8);

/// Smallest ratio of CPU shares at which another host counts as larger.
const LARGER_HOST_RATIO: u16 = 2;

/// Smallest number of owners for which unresponsiveness of half of them may mean that this
/// host's own network is at fault.
const MIN_OWNERS_FOR_NETWORK_CHECK: usize = 4;

/// Time without servers after which this host resigns: several checks have failed by then, which
/// servers that have failed at the same moment rarely explain.
const MIN_SERVER_LOSS: Duration = Duration::from_millis(1_000);

/// Longest time for which a new leader waits for the list of servers as of its takeover: several
/// retries of a list call that fails.
const FLEET_CATCH_UP_LIMIT: Duration = Duration::from_millis(1_000);

/// Role of this host in the election.
pub(super) enum Role {
    /// Another host leads, or no host does.
    Follower,
    /// This host is writing its takeover to the store.
    Candidate,
    /// This host leads and plans which server owns which keys.
    Leader(Box<OwnershipPlanner>),
}

/// Pause until the next [`Tick`].
#[derive(Debug, Reply)]
pub struct NextTick(pub Duration);

/// Actor that holds this host's role: follower, candidate or leader.
///
/// Work is done on each [`Tick`](super::Tick) and when a message arrives. Calls to the store
/// and to servers run in tasks of their own, which send their results back as messages.
pub struct LeaderActor {
    pub(super) state: Arc<HostState>,
    pub(super) owners: OwnerStore,
    pub(super) orders: OrderSender,
    pub(super) link: PeerLink,
    pub(super) role: Role,
    /// Version of the stored assignment, which the leader's next write replaces.
    pub(super) version: StoreVersion,
    pub(super) candidacy: Candidacy,
    pub(super) hosts: HostTable,
    /// Limits that servers have named to any host.
    pub(super) limits: LimitTable,
    /// Requests of all hosts for cold servers.
    pub(super) warmups: WarmupTable,
    /// Demand and capacity by zone, and which requests leave their zone.
    pub(super) zone_planning: ZonePlanning,
    /// Check of the remembered assignment that this leader began with after the store had lost writes,
    /// until most hosts have shown that they remember no later one.
    pub(super) unverified: Option<MemoryCheck>,
    /// Sender and term of the latest digest.
    pub(super) last_digest_sender: Option<(SocketAddr, u64)>,
    /// When the latest digest arrived.
    pub(super) last_digest_at: Option<BootTime>,
    /// Addresses of all hosts, from the last digest that listed them.
    pub(super) peers: Vec<SocketAddr>,
    /// The leader does not reach the store and has named this host as a watcher, so this
    /// host may take over although the leader is alive.
    pub(super) may_replace_leader: bool,
    /// Epoch in which this host has left it to others to write a lost assignment again.
    pub(super) deferred_epoch: Option<u64>,
    /// Nonce of the leader process whose last digest said that it does not reach the store.
    pub(super) leader_without_store: Option<u64>,
    /// Version of the last fleet update that this leader sent.
    pub(super) fleet_version_sent: StoreVersion,
    /// Version of the last configuration that this leader sent.
    pub(super) config_version_sent: StoreVersion,
    /// Recent changes of the assignment that this leader sent.
    pub(super) owner_log: ChangeLog<OwnerUpdate>,
    /// Counts the digests of this process; wraps around.
    pub(super) digests_sent: u32,
    /// Value of `digests_sent` when the store was last reachable.
    pub(super) digests_at_store_loss: u32,
    /// Consecutive failed checks of the leadership in the store.
    pub(super) confirm_failures: u32,
    /// Such a check is running.
    pub(super) confirming: bool,
    /// Authority rests on the reports of most electors, as the store has not confirmed it recently.
    pub(super) majority_needed: bool,
    /// Watch for the end of the leaders before this one.
    pub(super) predecessors: PredecessorWatch,
    /// Highest term read from the store.
    pub(super) seen_term: u64,
    pub(super) term_started_at: BootTime,
    /// Version of the assignment that began this host's term.
    pub(super) takeover_version: StoreVersion,
    /// Assignment and version that all hosts were last told; at first, those known to this
    /// host before it became the leader.
    pub(super) announced: Option<(Arc<OwnerState>, StoreVersion)>,
    /// Newest versions that any host has reported to this leader.
    pub(super) versions: SeenVersions,
    /// Term of the leader to which the last report was sent.
    pub(super) reported_term: Option<u64>,
    /// When the last report was sent.
    pub(super) reported_at: BootTime,
    /// When the last check of the leadership was started.
    pub(super) confirm_started_at: BootTime,
    /// A planning round is scheduled to run before the next tick.
    pub(super) early_round_pending: bool,
    /// The process is to stop, so this host must not take over any more.
    pub(super) stopping: bool,
}

impl LeaderActor {
    /// Creates the actor as a follower.
    pub fn new(state: Arc<HostState>, store: StoreClient, link: PeerLink) -> Self {
        let now = state.now();
        let candidacy = Candidacy::new(now, state.settings.cpu_permille(), state.random_fraction());
        Self {
            owners: OwnerStore::new(state.clone(), store),
            orders: OrderSender::new(state.clone()),
            link,
            role: Role::Follower,
            version: StoreVersion::default(),
            candidacy,
            hosts: HostTable::default(),
            limits: LimitTable::default(),
            warmups: WarmupTable::default(),
            zone_planning: ZonePlanning::new(&[], now),
            unverified: None,
            last_digest_sender: None,
            last_digest_at: None,
            peers: Vec::new(),
            may_replace_leader: false,
            deferred_epoch: None,
            leader_without_store: None,
            fleet_version_sent: StoreVersion::default(),
            config_version_sent: StoreVersion::default(),
            owner_log: ChangeLog::default(),
            digests_sent: 0,
            digests_at_store_loss: 0,
            confirm_failures: 0,
            confirming: false,
            majority_needed: false,
            predecessors: PredecessorWatch::new(
                Predecessor::Ended,
                ElectorList::default(),
                ElectorSource::Store,
                now,
            ),
            seen_term: 0,
            term_started_at: now,
            takeover_version: StoreVersion::default(),
            announced: None,
            versions: SeenVersions::default(),
            reported_term: None,
            reported_at: now,
            confirm_started_at: now,
            early_round_pending: false,
            stopping: false,
            state,
        }
    }

    /// Does the periodic work; returns the pause until the next tick.
    pub(super) fn tick(&mut self, actor: &ActorRef<Self>) -> Duration {
        let now = self.state.now();
        self.state.expire_fleet();
        self.state.expire_suspects();
        self.state.expire_pauses();
        self.state.expire_evacuations();
        self.state.expire_remote_load();
        let is_leader = matches!(self.role, Role::Leader(_));
        if is_leader {
            self.run_leader_round(actor, now);
        } else if !self.stopping {
            self.take_over_if_due(actor, now);
        }
        if now.since(self.reported_at) >= self.report_interval() {
            self.reported_at = now;
            self.send_report(now);
        }
        if is_leader {
            self.send_fleet_updates();
            self.send_config_copy();
        }
        match is_leader {
            true => LEADER_TICK,
            false => FOLLOWER_TICK,
        }
    }

    /// Names of the keyed services in the configuration, sorted.
    pub(super) fn keyed_services(&self) -> Vec<ServiceName> {
        let Some(table) = self.state.table() else {
            return Vec::new();
        };
        let mut names: Vec<_> = table
            .services
            .values()
            .filter(|service| service.keyed)
            .map(|service| service.name.clone())
            .collect();
        names.sort();
        names
    }

    /// Whether this new leader may lack servers that have registered before its takeover.
    fn fleet_is_behind(&self, now: BootTime) -> bool {
        now.since(self.term_started_at) < FLEET_CATCH_UP_LIMIT
            && self.state.seen_through(StoreKind::Fleet) < self.takeover_version
    }

    /// Runs a planning round and starts its actions, if this host leads. Then checks whether
    /// this host has to give up the leadership.
    pub(super) fn run_leader_round(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let services = self.keyed_services();
        let fleet = self.state.fleet();
        let evacuations = self.state.evacuations();
        let capacity = self.capacity();
        let fleet_is_behind = self.fleet_is_behind(now);
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        let term = planner.state().term;
        let plan_context = PlanContext {
            fleet: &fleet,
            evacuations: &evacuations,
            fleet_is_behind,
            services: &services,
            capacity: &capacity,
        };
        let actions = planner.poll(plan_context, now);
        for owner in planner.take_unlogged_ends() {
            log::info!(
                term,
                server = owner.id.as_str(),
                incarnation = owner.incarnation,
                address:% = owner.address,
                proof = "another server answers at its address";
                "owner has ended, its keys need no release"
            );
        }
        for moves in planner.take_unlogged_moves() {
            self.state.count_moves(&moves);
        }
        let (owners, silent) = planner.unresponsive_owners(now);
        let superseded = planner.is_superseded();
        let moving = planner.has_moves();
        for action in actions {
            match action {
                PlanAction::Write(state) => self.write(actor, *state),
                action => self.orders.send(actor.clone(), term, action),
            }
        }
        let interval = match self.confirm_failures {
            0 => CONFIRM_INTERVAL,
            _ => CONFIRM_RETRY,
        };
        if !self.confirming && now.since(self.confirm_started_at) >= interval {
            self.confirm_started_at = now;
            self.confirming = true;
            self.confirm(actor, term);
        }
        let has_larger_host = self.hosts.largest_cpu_permille()
            >= self.state.settings.cpu_permille() * LARGER_HOST_RATIO;
        let settled = now.since(self.term_started_at) >= MIN_TERM_BEFORE_RESIGNATION
            && self.confirm_failures == 0;
        if superseded {
            self.step_down("a server has seen a higher token", now);
        } else if self.state.servers_lost_for() >= MIN_SERVER_LOSS
            && self.hosts.other_has_servers(&self.state.settings.host)
        {
            log::warn!("this host reaches no servers and other hosts do, resigning");
            self.resign(actor, now);
        } else if has_larger_host && settled && !moving {
            log::info!(largest = self.hosts.largest_cpu_permille(); "resigning in favour of a larger host");
            self.resign(actor, now);
        } else if owners >= MIN_OWNERS_FOR_NETWORK_CHECK && silent.len() * 2 >= owners {
            self.resign_if_isolated(actor, owners, &silent, now);
        }
    }

    /// Resigns if the servers that do not answer this host answer other hosts, since the
    /// fault is then in this host's network. Servers that answer no host are lost; this host
    /// stays leader and moves their keys.
    pub(super) fn resign_if_isolated(
        &mut self,
        actor: &ActorRef<Self>,
        owners: usize,
        silent: &[ServerInstance],
        now: BootTime,
    ) {
        let answers_other_hosts = |server: &&ServerInstance| {
            self.hosts
                .answers_other_hosts(ServerHash::of(&server.id), now)
        };
        let alive = silent.iter().filter(answers_other_hosts).count();
        if alive * 2 < silent.len() {
            return;
        }
        let silent = silent.len();
        log::warn!(owners, silent, alive; "unresponsive servers answer other hosts but not this one, resigning");
        self.resign(actor, now);
    }

    /// Load at which each server is fully busy, in the unit that the placement uses.
    pub(super) fn capacity(&self) -> HashMap<ServerId, f32> {
        let mut capacity = self.state.server_rates();
        let warmup_rates = self.state.warmup_rates();
        for (id, rate) in &mut capacity {
            if let Some(mean) = self.hosts.mean_latency(ServerHash::of(id)) {
                let slots = self.state.slots(id);
                *rate = (f64::from(slots) / mean) as f32;
            }
            if let Some(limit) = self.limits.limit(ServerHash::of(id)) {
                *rate = rate.min(limit.per_second() as f32);
            }
            if let Some(limit) = warmup_rates.get(id) {
                *rate = rate.min(limit.per_second() as f32);
            }
            *rate = RangeLoad::steady_count(*rate);
        }
        capacity
    }

    /// Writes the assignment to the store in a task of its own.
    pub(super) fn write(&self, actor: &ActorRef<Self>, state: OwnerState) {
        let owners = self.owners.clone();
        let version = self.version;
        let actor = actor.clone();
        log::info!(term = state.term, change = state.change, revision:% = version; "writing new assignment");
        tokio::spawn(async move {
            let (sent_at, outcome) = owners.write(&state, version).await;
            let ended = WriteEnded {
                term: state.term,
                replaced: version,
                sent_at,
                outcome,
            };
            if let Err(error) = actor.tell(ended).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Checks in a task of its own whether the store still names this process as the leader.
    pub(super) fn confirm(&self, actor: &ActorRef<Self>, term: u64) {
        let owners = self.owners.clone();
        let state = self.state.clone();
        let actor = actor.clone();
        let known = self.version;
        tokio::spawn(async move {
            let sent_at = state.now();
            let outcome = match owners.read().await {
                Ok(stored) => {
                    let is_later = |stored: &OwnerState| stored.term > term;
                    let is_ours = |stored: &OwnerState| {
                        let leader = stored.leader.as_ref();
                        stored.term == term
                            && leader.is_some_and(|leader| leader.nonce == state.nonce)
                    };
                    match &stored.state {
                        Some(later) if is_later(later) => ConfirmOutcome::Unconfirmed,
                        _ if stored.version.epoch > known.epoch => {
                            ConfirmOutcome::WritesLost(stored.version)
                        }
                        Some(ours) if is_ours(ours) => ConfirmOutcome::Confirmed(sent_at),
                        _ => ConfirmOutcome::Unconfirmed,
                    }
                }
                Err(fault) => {
                    log::warn!(term, reason:% = fault; "cannot confirm leadership: read of the assignment failed");
                    ConfirmOutcome::Unconfirmed
                }
            };
            if let Err(error) = actor.tell(ConfirmEnded { term, outcome }).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }
}
