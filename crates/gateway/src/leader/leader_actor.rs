//! The actor that owns this host's part in the leadership.

use {
    super::{
        candidacy::Candidacy,
        host_table::HostTable,
        leader_handlers::Announce,
        leader_messages::{ConfirmEnded, WriteEnded},
        order_sender::OrderSender,
        owner_store::OwnerStore,
        takeover::take_over,
    },
    crate::{
        peers::{OwnerChange, PeerLink},
        state::{ChangeLog, HostState, SeenRevisions, ServerHash, StoreKind},
    },
    camphorcove_core::{
        ids::{ServerId, ServiceName},
        ownership::{
            LeaderRecord, OwnerState, OwnershipPlanner, PlanAction, PlanContext, RangeLoad,
            ServerInstance,
        },
        time::BootTime,
    },
    camphorcove_platform::StoreClient,
    kameo::{Actor, Reply, actor::ActorRef},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval of the leader's work: a change of owner takes a few of them.
const LEADER_TICK: Duration = Duration::from_millis(25);

/// Interval of the other hosts' work.
const FOLLOWER_TICK: Duration = Duration::from_millis(125);

/// Interval at which the store is asked whether this host is still the leader.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval of these questions while the store does not answer.
const CONFIRM_RETRY: Duration = Duration::from_millis(300);

/// Failed questions in a row after which the leader tells that it lacks the store.
pub(super) const CONFIRM_FAILURES: u32 = 2;

/// Time of a term after which a host hands the leadership on to a larger one.
const SMALL_TERM: Duration = Duration::from_secs(8);

/// Factor by which another host has to be larger for that.
const LARGER_FACTOR: u16 = 2;

/// Owners, from which on silence of half of them may point at this host's own links.
const SILENCE_MIN: usize = 4;

/// What this host is.
pub(super) enum Role {
    /// Another host leads, or none.
    Follower,
    /// A takeover is being written.
    Candidate,
    /// This host leads.
    Leader(Box<OwnershipPlanner>),
}

/// Pause until the next [`Tick`].
#[derive(Debug, Reply)]
pub struct NextTick(pub Duration);

/// Leader, candidate or follower.
#[derive(Actor)]
pub struct LeaderActor {
    pub(super) state: Arc<HostState>,
    pub(super) owners: OwnerStore,
    pub(super) orders: OrderSender,
    pub(super) link: PeerLink,
    pub(super) role: Role,
    pub(super) revision: u64,
    pub(super) candidacy: Candidacy,
    pub(super) hosts: HostTable,
    /// Where reports go, and the term of that leader.
    pub(super) leader_at: Option<(SocketAddr, u64)>,
    /// All hosts, as the last digest listed them.
    pub(super) peers: Vec<SocketAddr>,
    /// The leader does not reach the store, and this host is to try.
    pub(super) lacks_store: bool,
    /// Process of the leader whose last digest said that it does not reach the store.
    pub(super) store_away: Option<u64>,
    /// Last change of servers that this leader sent.
    pub(super) fleet_sent: u64,
    /// Changes of the assignment that this leader sent.
    pub(super) owner_log: ChangeLog<OwnerChange>,
    pub(super) digests: u32,
    /// Number of the last digest at which this leader had the store.
    pub(super) store_lost_at: u32,
    pub(super) confirm_failures: u32,
    pub(super) confirming: bool,
    /// Hosts of which most have to report, as of the last word from the store.
    pub(super) quorum_base: usize,
    /// The leader before, until it is known to act no longer.
    pub(super) before: Option<LeaderRecord>,
    /// Highest term seen.
    pub(super) seen_term: u64,
    pub(super) term_began: BootTime,
    /// Assignment that was last sent to all hosts, or known before this host led.
    pub(super) announced: Option<(Arc<OwnerState>, u64)>,
    pub(super) revisions: SeenRevisions,
    pub(super) reported_at: BootTime,
    pub(super) confirmed_at: BootTime,
    /// A round of the plan before the next tick is under way.
    pub(super) hastened: bool,
    pub(super) stopping: bool,
}

impl LeaderActor {
    /// Actor of a process that starts now.
    pub fn new(state: Arc<HostState>, store: StoreClient, link: PeerLink) -> Self {
        let now = state.now();
        let candidacy = Candidacy::new(now, state.settings.cpu_permille(), state.random_fraction());
        Self {
            owners: OwnerStore::new(state.clone(), store),
            orders: OrderSender::new(state.clone()),
            link,
            role: Role::Follower,
            revision: 0,
            candidacy,
            hosts: HostTable::default(),
            leader_at: None,
            peers: Vec::new(),
            lacks_store: false,
            store_away: None,
            fleet_sent: 0,
            owner_log: ChangeLog::default(),
            digests: 0,
            store_lost_at: 0,
            confirm_failures: 0,
            confirming: false,
            quorum_base: 0,
            before: None,
            seen_term: 0,
            term_began: now,
            announced: None,
            revisions: SeenRevisions::default(),
            reported_at: now,
            confirmed_at: now,
            hastened: false,
            stopping: false,
            state,
        }
    }

    pub(super) fn tick(&mut self, actor: &ActorRef<Self>) -> Duration {
        let now = self.state.now();
        self.state.expire_fleet();
        self.state.expire_remote_load();
        let leads = matches!(self.role, Role::Leader(_));
        if leads {
            self.lead(actor, now);
        } else if !self.stopping {
            self.consider(actor, now);
        }
        if now.since(self.reported_at) >= self.report_interval() {
            self.reported_at = now;
            self.report(now);
        }
        if leads {
            self.pass_on_fleet();
        }
        match leads {
            true => LEADER_TICK,
            false => FOLLOWER_TICK,
        }
    }

    /// Keyed services of the configuration.
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

    /// Tries to take over if no leader is heard.
    pub(super) fn consider(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let stored = self.state.owners();
        let leader = stored
            .as_ref()
            .and_then(|(owners, _)| owners.leader.as_ref());
        let vacant = self.lacks_store || leader.is_none_or(|leader| self.is_ended(leader));
        let idle = matches!(self.role, Role::Follower);
        if !idle || !self.candidacy.is_due(vacant, now) {
            return;
        }
        self.candidacy.tried(now);
        self.role = Role::Candidate;
        self.announced.clone_from(&stored);
        let known = stored.map(|(owners, _)| owners.term);
        log::info!(term:? = known, vacant; "no leader heard, trying to take over");
        let owners = self.owners.clone();
        let record = LeaderRecord {
            host: self.state.settings.host.clone(),
            nonce: self.state.nonce,
            address: self.state.settings.peers,
        };
        let secret = self.draw_secret();
        let actor = actor.clone();
        tokio::spawn(async move {
            let ended = take_over(&owners, record, known, secret).await;
            if let Err(error) = actor.tell(ended).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Whether the record is of an earlier process on this host, or of a write of this
    /// process that took effect after it was given up.
    pub(super) fn is_ended(&self, leader: &LeaderRecord) -> bool {
        let settings = &self.state.settings;
        leader.host == settings.host && leader.address == settings.peers
    }

    pub(super) fn draw_secret(&self) -> String {
        let mut secret = String::new();
        for _ in 0..4 {
            let part = self.state.random_u64();
            secret.push_str(&format!("{part:016x}"));
        }
        secret
    }

    pub(super) fn lead(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let services = self.keyed_services();
        let fleet = self.state.fleet();
        let capacity = self.capacity();
        let Role::Leader(planner) = &mut self.role else {
            return;
        };
        let term = planner.state().term;
        let plan_context = PlanContext {
            fleet: &fleet,
            services: &services,
            capacity: &capacity,
        };
        let actions = planner.poll(plan_context, now);
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
        if !self.confirming && now.since(self.confirmed_at) >= interval {
            self.confirmed_at = now;
            self.confirming = true;
            self.confirm(actor, term);
        }
        let small = self.hosts.largest() >= self.state.settings.cpu_permille() * LARGER_FACTOR;
        let settled = now.since(self.term_began) >= SMALL_TERM && self.confirm_failures == 0;
        if superseded {
            self.step_down("a server has seen a higher token", now);
        } else if small && settled && !moving {
            log::info!(largest = self.hosts.largest(); "a larger host is to lead");
            self.resign(actor, now);
        } else if owners >= SILENCE_MIN && silent.len() * 2 >= owners {
            self.judge_silence(actor, owners, &silent, now);
        }
    }

    /// Resigns if servers that do not answer this host answer others: its links are bad.
    /// Servers that answer nobody are lost, and this host moves their keys.
    pub(super) fn judge_silence(
        &mut self,
        actor: &ActorRef<Self>,
        owners: usize,
        silent: &[ServerInstance],
        now: BootTime,
    ) {
        let answers_others =
            |server: &&ServerInstance| self.hosts.answers_others(ServerHash::of(&server.id), now);
        let alive = silent.iter().filter(answers_others).count();
        if alive * 2 < silent.len() {
            return;
        }
        let silent = silent.len();
        log::warn!(owners, silent, alive; "servers answer other hosts, but not this one");
        self.resign(actor, now);
    }

    /// Load that keeps each server fully busy, in the unit of the placement.
    pub(super) fn capacity(&self) -> HashMap<ServerId, f32> {
        let mut capacity = self.state.server_rates();
        for (id, rate) in &mut capacity {
            if let Some(mean) = self.hosts.mean_time(ServerHash::of(id)) {
                let slots = self.state.slots(id);
                *rate = (f64::from(slots) / mean) as f32;
            }
            *rate = RangeLoad::steady_count(*rate);
        }
        capacity
    }

    pub(super) fn write(&self, actor: &ActorRef<Self>, state: OwnerState) {
        let owners = self.owners.clone();
        let revision = self.revision;
        let actor = actor.clone();
        log::info!(term = state.term, change = state.change, revision; "assignment changes");
        tokio::spawn(async move {
            let (sent_at, outcome) = owners.write(&state, revision).await;
            let ended = WriteEnded {
                term: state.term,
                sent_at,
                outcome,
            };
            if let Err(error) = actor.tell(ended).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    pub(super) fn confirm(&self, actor: &ActorRef<Self>, term: u64) {
        let owners = self.owners.clone();
        let state = self.state.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let sent_at = state.now();
            let confirmed = match owners.read().await {
                Ok(stored) => {
                    let leader = stored.and_then(|(stored, _)| Some((stored.leader?, stored.term)));
                    let ours = |(leader, at): (LeaderRecord, u64)| {
                        leader.nonce == state.nonce && at == term
                    };
                    leader.is_some_and(ours).then_some(sent_at)
                }
                Err(fault) => {
                    log::warn!(term, reason:% = fault; "leader not confirmed by the store");
                    None
                }
            };
            if let Err(error) = actor.tell(ConfirmEnded { term, confirmed }).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Takes what the stored assignment says of the leader.
    pub(super) fn owners_read(&mut self, now: BootTime) {
        let Some((owners, _)) = self.state.owners() else {
            return;
        };
        if let Role::Leader(planner) = &self.role
            && owners.term > planner.state().term
        {
            self.step_down("another host leads", now);
        }
        // A new leader gets time to be heard.
        if owners.term > self.seen_term && owners.leader.is_some() {
            self.candidacy.heard(now);
        }
        self.seen_term = self.seen_term.max(owners.term);
    }

    pub(super) fn step_down(&mut self, reason: &str, now: BootTime) {
        if let Role::Leader(planner) = &self.role {
            log::info!(term = planner.state().term, reason; "leadership ended");
        }
        self.role = Role::Follower;
        self.state.set_is_leader(false);
        self.candidacy.heard(now);
    }

    /// Ends the leadership with a write, so that a successor need not wait.
    pub(super) fn resign(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let Role::Leader(planner) = &self.role else {
            return;
        };
        let mut state = planner.state().clone();
        state.leader = None;
        state.change += 1;
        let revision = self.revision;
        self.step_down("resigned", now);
        self.candidacy.resigned(now);
        let owners = self.owners.clone();
        let actor = actor.clone();
        tokio::spawn(async move {
            let (_, outcome) = owners.write(&state, revision).await;
            log::info!(term = state.term, outcome:? = outcome; "leadership given up");
            if let Err(error) = actor.tell(Announce).await {
                log::error!(reason:% = error; "leader actor is gone");
            }
        });
    }

    /// Becomes the leader after the store has acknowledged it.
    pub(super) fn begin_term(
        &mut self,
        state: OwnerState,
        revision: u64,
        before: Option<LeaderRecord>,
        predecessor_end: BootTime,
    ) {
        let now = self.state.now();
        // With the leader before, this host knows the hosts from its last digest.
        self.quorum_base = self.peers.len();
        self.before = before;
        self.term_began = now;
        log::info!(term = state.term, revision; "this host leads");
        self.revision = revision;
        self.confirmed_at = now;
        self.confirm_failures = 0;
        self.confirming = false;
        self.hosts = HostTable::default();
        self.revisions = self.state.revisions();
        self.fleet_sent = self.revisions.get(StoreKind::Fleet);
        self.lacks_store = false;
        self.state.set_is_leader(true);
        self.role = Role::Leader(Box::new(OwnershipPlanner::new(state, predecessor_end, now)));
        self.announce();
        self.send_digests(now);
    }
}
