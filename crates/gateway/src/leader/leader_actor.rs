//! The actor that owns this host's part in the leadership.

use {
    super::{
        candidacy::Candidacy,
        host_table::HostTable,
        leader_messages::{
            ConfirmEnded, DigestIn, MissedIn, OwnersIn, OwnersSeen, PlanEvent, ReportIn, Resign,
            Tick, WriteEnded,
        },
        order_sender::OrderSender,
        owner_store::{OwnerStore, WriteOutcome},
    },
    crate::{
        peers::{Digest, OwnerChange, PeerLink, PeerMessage, Report},
        state::{ChangeLog, FleetUpdate, HostState, ServerTag, StoreKind, StoreMarks},
    },
    camphorcove_core::{
        ids::{ServerId, ServiceName},
        ownership::{
            AUTHORITY_ALONE, AUTHORITY_LIMIT, CALL_LIMIT, LeaderPlan, LeaderRecord, MAJORITY_AGE,
            OwnerDelta, OwnerState, PlanAction, PlanInput, PlanWorld, RangeLoad, ServerLife,
        },
        time::{BootTime, with_drift},
    },
    camphorcove_platform::StoreClient,
    kameo::{
        Actor, Reply,
        actor::ActorRef,
        message::{Context, Message},
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval of the leader's work: a change of owner takes a few of them.
const LEADER_TICK: Duration = Duration::from_millis(25);

/// Time in which answers of servers are gathered while ranges move: a round of the plan
/// looks at all ranges, and answers come by the hundred.
const MOVE_GATHER: Duration = Duration::from_millis(10);

/// Interval of the other hosts' work.
const FOLLOWER_TICK: Duration = Duration::from_millis(125);

/// Interval of reports and digests for each host: bounds the leader's datagrams.
const REPORT_PER_HOST: Duration = Duration::from_millis(4);

/// Shortest and longest such interval. Placement sees a hot key within some reports, and
/// three digests fit into the time after which a leader counts as lost.
const REPORT_LEAST: Duration = Duration::from_millis(125);
const REPORT_MOST: Duration = Duration::from_millis(250);

/// Interval at which the store is asked whether this host is still the leader.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval of these questions while the store does not answer.
const CONFIRM_RETRY: Duration = Duration::from_millis(300);

/// Failed questions in a row after which the leader tells that it lacks the store.
const CONFIRM_FAILURES: u32 = 2;

/// Digests between two that list the hosts.
const PEERS_EVERY: u32 = 8;

/// Time of a term after which all hosts have reported to the new leader.
const COUNT_TIME: Duration = Duration::from_millis(2_000);

/// Time of a term after which a host hands the leadership on to a larger one.
const SMALL_TERM: Duration = Duration::from_secs(8);

/// Factor by which another host has to be larger for that.
const LARGER_FACTOR: u16 = 2;

/// Hosts that watch the store besides the leader: all of them rarely lose it together.
const WATCHERS: usize = 2;

/// Digests after which others watch, while the leader lacks the store.
const WATCHER_TURN: u32 = 8;

/// Free slots of a server up to which hosts are told its load. With more, a request
/// does not wait there.
const SPARE_SLOTS: u32 = 1;

/// Owners, from which on silence of half of them may point at this host's own links.
const SILENCE_MIN: usize = 4;

/// What this host is.
enum Role {
    /// Another host leads, or none.
    Follower,
    /// A takeover is being written.
    Candidate,
    /// This host leads.
    Leader(Box<LeaderPlan>),
}

/// Pause until the next [`Tick`].
#[derive(Debug, Reply)]
pub struct NextTick(pub Duration);

/// Leader, candidate or follower.
#[derive(Actor)]
pub struct LeaderActor {
    state: Arc<HostState>,
    owners: OwnerStore,
    orders: OrderSender,
    link: PeerLink,
    role: Role,
    revision: u64,
    candidacy: Candidacy,
    hosts: HostTable,
    /// Where reports go, and the term of that leader.
    leader_at: Option<(SocketAddr, u64)>,
    /// All hosts, as the last digest listed them.
    peers: Vec<SocketAddr>,
    /// The leader does not reach the store, and this host is to try.
    lacks_store: bool,
    /// The last digest said that the leader does not reach the store.
    store_away: bool,
    /// Last change of servers that this leader sent.
    fleet_sent: u64,
    /// Changes of the assignment that this leader sent.
    owner_log: ChangeLog<OwnerChange>,
    digests: u32,
    /// Number of the last digest at which this leader had the store.
    store_lost_at: u32,
    confirm_failures: u32,
    confirming: bool,
    /// Hosts of which most have to report, as of the last word from the store.
    quorum_base: usize,
    /// The leader before, until it is known to act no longer.
    before: Option<LeaderRecord>,
    /// Highest term seen.
    seen_term: u64,
    term_began: BootTime,
    /// Assignment that was last sent to all hosts, or known before this host led.
    announced: Option<(Arc<OwnerState>, u64)>,
    marks: StoreMarks,
    reported_at: BootTime,
    confirmed_at: BootTime,
    /// A round of the plan before the next tick is under way.
    hastened: bool,
    stopping: bool,
}

impl LeaderActor {
    /// Actor of a process that starts now.
    pub fn new(state: Arc<HostState>, store: StoreClient, link: PeerLink) -> Self {
        let now = state.now();
        let candidacy = Candidacy::new(now, state.settings.cpu_permille(), state.draw());
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
            store_away: false,
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
            marks: StoreMarks::default(),
            reported_at: now,
            confirmed_at: now,
            hastened: false,
            stopping: false,
            state,
        }
    }

    fn tick(&mut self, actor: &ActorRef<Self>) -> Duration {
        let now = self.state.now();
        self.state.expire_fleet();
        self.state.expire_others();
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
    fn keyed_services(&self) -> Vec<ServiceName> {
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
    fn consider(&mut self, actor: &ActorRef<Self>, now: BootTime) {
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
    fn is_ended(&self, leader: &LeaderRecord) -> bool {
        let settings = &self.state.settings;
        leader.host == settings.host && leader.address == settings.peers
    }

    fn draw_secret(&self) -> String {
        let mut secret = String::new();
        for _ in 0..4 {
            let part = self.state.draw_number();
            secret.push_str(&format!("{part:016x}"));
        }
        secret
    }

    fn lead(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let services = self.keyed_services();
        let fleet = self.state.fleet();
        let capacity = self.capacity();
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        let term = plan.state().term;
        let world = PlanWorld {
            fleet: &fleet,
            services: &services,
            capacity: &capacity,
        };
        let actions = plan.poll(world, now);
        let (owners, silent) = plan.silent_owners(now);
        let superseded = plan.is_superseded();
        let moving = plan.has_moves();
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
    fn judge_silence(
        &mut self,
        actor: &ActorRef<Self>,
        owners: usize,
        silent: &[ServerLife],
        now: BootTime,
    ) {
        let answers_others =
            |server: &&ServerLife| self.hosts.answers_others(ServerTag::of(&server.id), now);
        let alive = silent.iter().filter(answers_others).count();
        if alive * 2 < silent.len() {
            return;
        }
        let silent = silent.len();
        log::warn!(owners, silent, alive; "servers answer other hosts, but not this one");
        self.resign(actor, now);
    }

    /// Load that keeps each server fully busy, in the unit of the placement.
    fn capacity(&self) -> HashMap<ServerId, f32> {
        let mut capacity = self.state.server_rates();
        for (id, rate) in &mut capacity {
            if let Some(mean) = self.hosts.mean_time(ServerTag::of(id)) {
                let slots = self.state.slots(id);
                *rate = (f64::from(slots) / mean) as f32;
            }
            *rate = RangeLoad::steady_count(*rate);
        }
        capacity
    }

    fn write(&self, actor: &ActorRef<Self>, state: OwnerState) {
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

    fn confirm(&self, actor: &ActorRef<Self>, term: u64) {
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
    fn owners_seen(&mut self, now: BootTime) {
        let Some((owners, _)) = self.state.owners() else {
            return;
        };
        if let Role::Leader(plan) = &self.role
            && owners.term > plan.state().term
        {
            self.step_down("another host leads", now);
        }
        // A new leader gets time to be heard.
        if owners.term > self.seen_term && owners.leader.is_some() {
            self.candidacy.heard(now);
        }
        self.seen_term = self.seen_term.max(owners.term);
    }

    fn step_down(&mut self, reason: &str, now: BootTime) {
        if let Role::Leader(plan) = &self.role {
            log::info!(term = plan.state().term, reason; "leadership ended");
        }
        self.role = Role::Follower;
        self.state.set_leads(false);
        self.candidacy.heard(now);
    }

    /// Ends the leadership with a write, so that a successor need not wait.
    fn resign(&mut self, actor: &ActorRef<Self>, now: BootTime) {
        let Role::Leader(plan) = &self.role else {
            return;
        };
        let mut state = plan.state().clone();
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

    fn report_interval(&self) -> Duration {
        let interval = REPORT_PER_HOST * self.state.hosts();
        interval.clamp(REPORT_LEAST, REPORT_MOST)
    }

    fn report(&mut self, now: BootTime) {
        let load = self.state.take_report();
        let host = self.state.settings.host.clone();
        let leader = self.leader_address();
        let term = match &self.role {
            Role::Leader(plan) => plan.state().term,
            Role::Follower | Role::Candidate => leader.map_or(0, |(_, term)| term),
        };
        let report = Report {
            host,
            nonce: self.state.nonce,
            term,
            cpu_permille: self.state.settings.cpu_permille(),
            marks: self.state.marks(),
            load,
        };
        if matches!(self.role, Role::Leader(_)) {
            let own = self.state.settings.peers;
            self.take_report(report, own, now);
            self.count_majority(now);
            self.send_digests(now);
            return;
        }
        if let Some((address, _)) = leader {
            let message = PeerMessage::Report(report);
            self.link.send(&self.state, address, &message);
        }
    }

    /// Address and term of the latest leader known from the store or from its digests.
    fn leader_address(&self) -> Option<(SocketAddr, u64)> {
        let stored = self.state.owners();
        let stored = stored.and_then(|(owners, _)| {
            let leader = owners.leader.as_ref()?;
            Some((leader.address, owners.term))
        });
        let latest = [stored, self.leader_at].into_iter().flatten();
        latest.max_by_key(|(_, term)| *term)
    }

    /// Sends what changed in the assignment since the last time to all hosts.
    fn announce(&mut self) {
        let Some((owners, revision)) = self.state.owners() else {
            return;
        };
        let before = self.announced.replace((owners.clone(), revision));
        let Some((old, from)) = before else {
            return;
        };
        let change = OwnerChange {
            from,
            to: revision,
            delta: OwnerDelta::between(&old, &owners),
        };
        self.owner_log.push(change.clone());
        let message = PeerMessage::Owners(change);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Sends new changes of servers to all hosts.
    fn pass_on_fleet(&mut self) {
        for update in self.state.fleet_updates(self.fleet_sent) {
            self.fleet_sent = update.to;
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link
                .send_all(&self.state, &self.peer_addresses(), &message);
        }
    }

    /// Sends a host again what it missed.
    fn send_missed(&self, marks: &StoreMarks, to: SocketAddr) {
        for update in self.state.fleet_updates(marks.get(StoreKind::Fleet)) {
            let message = PeerMessage::Fleet(FleetUpdate::clone(&update));
            self.link.send(&self.state, to, &message);
        }
        for change in self.owner_log.since(marks.get(StoreKind::Owners)) {
            let message = PeerMessage::Owners(OwnerChange::clone(&change));
            self.link.send(&self.state, to, &message);
        }
    }

    fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let reporting = self.hosts.addresses();
        let mut addresses: BTreeSet<_> = self.peers.iter().copied().chain(reporting).collect();
        addresses.remove(&self.state.settings.peers);
        addresses
    }

    fn take_report(&mut self, report: Report, from: SocketAddr, now: BootTime) {
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        self.marks.merge(&report.marks);
        // A report that was meant for another term tells nothing of who follows whom now.
        if report.term != plan.state().term {
            return;
        }
        for (service, keys) in &report.load.keys {
            for (key, requests) in keys {
                plan.count(service, *key, *requests, now);
            }
        }
        // A leader does not report: this one has been started anew or has stepped down.
        let predecessor =
            |before: &LeaderRecord| before.host == report.host && before.address == from;
        if self.before.as_ref().is_some_and(predecessor) {
            log::info!(host = report.host.as_str(); "the leader before acts no longer");
            self.before = None;
            plan.take(PlanInput::PredecessorEnds(now + CALL_LIMIT), now);
        }
        let own = report.host == self.state.settings.host;
        self.hosts.take(&report, from, own, now);
    }

    /// Tells the plan whether most hosts report to this leader.
    fn count_majority(&mut self, now: BootTime) {
        let limit = self.report_interval() * 2;
        let reporting = self.hosts.fresh_count(limit, now);
        let base = self.quorum_base;
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        if now.since(self.term_began) >= AUTHORITY_LIMIT {
            self.before = None;
        }
        if base == 0 || reporting * 2 <= base {
            return;
        }
        plan.take(PlanInput::MajorityReports, now);
        // Most hosts have left the leader before, so it acts on its own at most.
        if self.before.take().is_some() {
            let alone = self.term_began + AUTHORITY_ALONE;
            // The leader before may have counted their last reports until now.
            let supported = now + MAJORITY_AGE + REPORT_MOST * 2;
            let end = alone.max(supported) + CALL_LIMIT;
            log::info!(reporting, base; "most hosts have left the leader before");
            plan.take(PlanInput::PredecessorEnds(end), now);
        }
    }

    fn send_digests(&mut self, now: BootTime) {
        self.hosts.expire(now);
        let Role::Leader(plan) = &self.role else {
            return;
        };
        let term = plan.state().term;
        let mut servers: Vec<_> = self.hosts.totals().into_iter().collect();
        let hosts = self.counted_hosts(now);
        self.state.set_others(hosts, &servers);
        let slots = self.state.slots_by_tag();
        servers.retain(|(server, total)| {
            let slots = slots.get(server).copied().unwrap_or_default();
            total + SPARE_SLOTS >= slots
        });
        let listed = self.digests.is_multiple_of(PEERS_EVERY);
        self.digests = self.digests.wrapping_add(1);
        if listed {
            self.peers = self.hosts.addresses().collect();
        }
        let has_store = self.confirm_failures < CONFIRM_FAILURES;
        let watchers = self.watchers(has_store);
        let digest = Digest {
            nonce: self.state.nonce,
            term,
            has_store,
            largest_cpu: self.hosts.largest(),
            hosts,
            marks: self.marks,
            watchers,
            servers,
            peers: match listed {
                true => self.peers.clone(),
                false => Vec::new(),
            },
        };
        let message = PeerMessage::Digest(digest);
        self.link
            .send_all(&self.state, &self.peer_addresses(), &message);
    }

    /// Hosts that are to watch the store besides this one. Without the store, they take
    /// turns, until one reaches it and takes over.
    fn watchers(&mut self, has_store: bool) -> Vec<SocketAddr> {
        if has_store {
            self.store_lost_at = self.digests;
        }
        // The largest hosts, which watch anyway, are the first to try.
        let turn = self.digests.wrapping_sub(self.store_lost_at) / WATCHER_TURN;
        let turn = usize::try_from(turn).unwrap_or(0);
        let own = &self.state.settings.host;
        self.hosts.watchers(own, WATCHERS, turn * WATCHERS)
    }

    /// Hosts that share limits; nothing while a new leader has not heard all of them.
    fn counted_hosts(&self, now: BootTime) -> Option<u32> {
        let count = u32::try_from(self.hosts.count()).unwrap_or(u32::MAX);
        (now.since(self.term_began) >= COUNT_TIME).then_some(count)
    }

    /// Becomes the leader after the store has acknowledged it.
    fn begin_term(
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
        self.marks = self.state.marks();
        self.fleet_sent = self.marks.get(StoreKind::Fleet);
        self.lacks_store = false;
        self.state.set_leads(true);
        self.role = Role::Leader(Box::new(LeaderPlan::new(state, predecessor_end, now)));
        self.announce();
        self.send_digests(now);
    }
}

/// A try to take over.
#[derive(Debug)]
struct TakeoverEnded {
    /// State and revision, if this host is the leader now.
    won: Option<(OwnerState, u64)>,
    /// The leader before, if it may still act.
    before: Option<LeaderRecord>,
    /// Whether another host acts as the leader.
    other: bool,
}

async fn take_over(
    owners: &OwnerStore,
    record: LeaderRecord,
    known_term: Option<u64>,
    secret: String,
) -> TakeoverEnded {
    let failed = |other| TakeoverEnded {
        won: None,
        before: None,
        other,
    };
    let stored = match owners.read().await {
        Ok(stored) => stored,
        Err(fault) => {
            log::warn!(reason:% = fault; "no takeover: the assignment cannot be read");
            return failed(false);
        }
    };
    let (mut state, revision) = match stored {
        Some((state, revision)) => (state, revision),
        None => (OwnerState::new(secret), 0),
    };
    // A leader that this host has just learned of gets time to be heard.
    let unknown = known_term.is_none_or(|known| state.term > known);
    let same_host =
        |leader: &LeaderRecord| leader.host == record.host && leader.address == record.address;
    if unknown
        && state
            .leader
            .as_ref()
            .is_some_and(|leader| !same_host(leader))
    {
        return failed(true);
    }
    let before = state.begin_term(record);
    match owners.write(&state, revision).await {
        (_, WriteOutcome::Written { revision }) => TakeoverEnded {
            won: Some((state, revision)),
            before,
            other: false,
        },
        (_, WriteOutcome::Lost) => failed(true),
        (_, WriteOutcome::NotDone) => failed(false),
    }
}

impl Message<Tick> for LeaderActor {
    type Reply = NextTick;

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, Self::Reply>) -> NextTick {
        let actor = context.actor_ref().clone();
        NextTick(self.tick(&actor))
    }
}

impl Message<OwnersSeen> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: OwnersSeen, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.owners_seen(now);
    }
}

/// Send the assignment to all hosts.
#[derive(Debug)]
struct Announce;

impl Message<Announce> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Announce, _: &mut Context<Self, Self::Reply>) {
        self.announce();
    }
}

impl Message<OwnersIn> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: OwnersIn, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let OwnersIn(change) = message;
        let Some((known, revision)) = self.state.owners() else {
            return;
        };
        // Without the state that the change starts from, the store is read: the digests
        // name the newest revision.
        if revision != change.from {
            return;
        }
        let Some(state) = change.delta.apply(&known) else {
            log::warn!(from = change.from, to = change.to; "change of owners does not fit");
            return;
        };
        if self.state.set_owners(state, change.to) {
            self.state.note_revision(StoreKind::Owners, change.to);
            self.owners_seen(now);
        }
    }
}

impl Message<ConfirmEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: ConfirmEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.confirming = false;
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        if plan.state().term != ended.term {
            return;
        }
        let confirmed = ended.confirmed.is_some();
        match ended.confirmed {
            Some(sent_at) => {
                if self.confirm_failures >= CONFIRM_FAILURES {
                    self.state.note_store_returned();
                }
                self.confirm_failures = 0;
                // Hosts only leave the count while the store is there.
                if self.before.is_none() {
                    self.quorum_base = self.hosts.count();
                }
                plan.take(PlanInput::Confirmed(sent_at), now);
            }
            None => self.confirm_failures += 1,
        }
        self.owners_seen(now);
        // Without the store no successor could follow, so a host that stops leads on
        // until the store has just answered, or its process ends.
        if self.stopping && confirmed {
            let actor = context.actor_ref().clone();
            self.resign(&actor, now);
        }
    }
}

impl Message<ReportIn> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: ReportIn, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.take_report(message.report, message.from, now);
    }
}

impl Message<DigestIn> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: DigestIn, _: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let DigestIn { digest, from } = message;
        let known = self.state.owners().map_or(0, |(owners, _)| owners.term);
        let known = self.leader_at.map_or(known, |(_, term)| known.max(term));
        if digest.term < known || digest.nonce == self.state.nonce {
            return;
        }
        if let Role::Leader(plan) = &self.role
            && digest.term > plan.state().term
        {
            self.step_down("a digest of a later leader arrived", now);
        }
        self.leader_at = Some((from, digest.term));
        if !digest.peers.is_empty() {
            self.peers = digest.peers;
        }
        self.candidacy.note_largest(digest.largest_cpu);
        let watches = digest.watchers.contains(&self.state.settings.peers);
        // Most hosts leave it to the watchers to find out whether the store is back.
        if digest.has_store || !watches {
            self.candidacy.heard(now);
        }
        self.lacks_store = watches && !digest.has_store;
        let was_away = std::mem::replace(&mut self.store_away, !digest.has_store);
        if was_away && digest.has_store {
            self.state.note_store_returned();
        }
        self.state.note_digest(watches);
        self.state.set_others(digest.hosts, &digest.servers);
        let behind = |kind| self.state.is_behind(kind);
        if !watches && (behind(StoreKind::Fleet) || behind(StoreKind::Owners)) {
            let message = PeerMessage::Missed(self.state.all_seen());
            self.link.send(&self.state, from, &message);
        }
    }
}

impl Message<MissedIn> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, message: MissedIn, _: &mut Context<Self, Self::Reply>) {
        if matches!(self.role, Role::Leader(_)) {
            self.send_missed(&message.marks, message.from);
        }
    }
}

impl Message<Resign> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Resign, context: &mut Context<Self, Self::Reply>) {
        self.stopping = true;
        // The store is asked at once: without it, this host leads on.
        self.confirmed_at = BootTime::default();
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}

impl Message<PlanEvent> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, event: PlanEvent, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        if plan.state().term != event.term {
            return;
        }
        plan.take(event.input, now);
        // Renewals wait for the next tick, which saves a round of the plan for each.
        if plan.has_moves() && !self.hastened {
            self.hastened = true;
            let actor = context.actor_ref().clone();
            tokio::spawn(async move {
                sleep(MOVE_GATHER).await;
                if let Err(error) = actor.tell(Hasten).await {
                    log::error!(reason:% = error; "leader actor is gone");
                }
            });
        }
    }
}

/// Work on moves before the next tick.
#[derive(Debug)]
struct Hasten;

impl Message<Hasten> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, _: Hasten, context: &mut Context<Self, Self::Reply>) {
        self.hastened = false;
        let now = self.state.now();
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}

impl Message<WriteEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: WriteEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        let Role::Leader(plan) = &mut self.role else {
            return;
        };
        if plan.state().term != ended.term {
            return;
        }
        match ended.outcome {
            WriteOutcome::Written { revision } => {
                self.revision = revision;
                plan.take(PlanInput::WriteAcked(ended.sent_at), now);
                self.announce();
            }
            WriteOutcome::NotDone => plan.take(PlanInput::WriteDropped, now),
            WriteOutcome::Lost => {
                self.step_down("another host changed the assignment", now);
                return;
            }
        }
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}

impl Message<TakeoverEnded> for LeaderActor {
    type Reply = ();

    async fn handle(&mut self, ended: TakeoverEnded, context: &mut Context<Self, Self::Reply>) {
        let now = self.state.now();
        self.role = Role::Follower;
        self.candidacy.tried(now);
        if ended.other {
            self.candidacy.heard(now);
        }
        let Some((state, revision)) = ended.won else {
            return;
        };
        let predecessor_end = match &ended.before {
            // The earlier process on this very host has ended, so it cannot renew any more.
            Some(before) if self.is_ended(before) => now,
            Some(_) => now + with_drift(AUTHORITY_LIMIT),
            None => now,
        };
        let predecessor_end = match state.term {
            1 => BootTime::default(),
            _ => predecessor_end + CALL_LIMIT,
        };
        self.begin_term(state, revision, ended.before, predecessor_end);
        let actor = context.actor_ref().clone();
        self.lead(&actor, now);
    }
}
