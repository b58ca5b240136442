//! The machine of one scope on one host.

use {
    super::{
        HostInfo, ReadFailure, ScopeAction, ScopeCounters, ScopeEvent, ScopeRole, ScopeSpec,
        WriteFailure, WriteId,
        candidacy::CandidacyTimer,
        controller_term::{ControllerTerm, Predecessor},
        host_table::HostTable,
        object_writer::{ObjectWriter, RETRY_PAUSE, WriteOutcome},
    },
    crate::{
        ids::{Epoch, HostId, ObjectVersion, ServerId, ServiceName, ShardId},
        map::{RoutingMap, ServerPhase},
        scope::{ScopeState, ShardState},
        time::{BootTime, OUTAGE_LIMIT, PROMISE_TTL},
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Time after which a read without an answer counts as failed.
const READ_LIMIT: Duration = Duration::from_secs(3);

/// Interval of reads by a controller, which prove its contact with the platform.
const CONTACT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reads while the controller's term is in question.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The scope object as read or written last.
#[derive(Clone, Debug)]
pub(super) struct HeldObject {
    pub(super) version: ObjectVersion,
    pub(super) state: ScopeState,
}

/// The machine of one scope on one host.
///
/// Each order, read, write and promise request is answered by exactly one event.
/// The daemon keeps the addresses of servers that left the configuration, because
/// the machine sends them orders until their shards have moved.
#[derive(Clone, Debug)]
pub struct ScopeMachine {
    pub(super) service: ServiceName,
    pub(super) host: HostInfo,
    pub(super) nonce: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) spec: Option<Arc<ScopeSpec>>,
    pub(super) hosts: HostTable,
    pub(super) leaving_servers: BTreeSet<ServerId>,
    pub(super) last_map: Option<Arc<RoutingMap>>,
    pub(super) role: ScopeRole,
    pub(super) timer: CandidacyTimer,
    pub(super) object: Option<HeldObject>,
    pub(super) writer: ObjectWriter,
    pub(super) predecessor: Predecessor,
    pub(super) term: Option<ControllerTerm>,
    pub(super) counters: ScopeCounters,
    pub(super) last_order: u64,
    pub(super) last_set: u64,
    pub(super) archived: u64,
    pub(super) resigning: bool,
    /// The term may be superseded; read the object soon.
    pub(super) questioned: bool,
    /// Something changed that the plan or the map may depend on.
    pub(super) dirty: bool,
    pub(super) contact_at: BootTime,
    reading_since: Option<BootTime>,
    read_not_before: BootTime,
    wall: Option<(u64, BootTime)>,
    pub(super) actions: Vec<ScopeAction>,
}

impl ScopeMachine {
    /// Machine of a process that just started; `nonce` differs from those of earlier processes.
    pub fn new(service: ServiceName, host: HostInfo, nonce: u64, seed: u64) -> Self {
        Self {
            service,
            host,
            nonce,
            random: ChaCha8Rng::seed_from_u64(seed),
            spec: None,
            hosts: HostTable::default(),
            leaving_servers: BTreeSet::new(),
            last_map: None,
            role: ScopeRole::Idle,
            timer: CandidacyTimer::default(),
            object: None,
            writer: ObjectWriter::default(),
            predecessor: Predecessor::default(),
            term: None,
            counters: ScopeCounters::default(),
            last_order: 0,
            last_set: 0,
            archived: 0,
            resigning: false,
            questioned: false,
            dirty: false,
            contact_at: BootTime(0),
            reading_since: None,
            read_not_before: BootTime(0),
            wall: None,
            actions: Vec::new(),
        }
    }

    /// Takes an event in and returns what to do, in order.
    pub fn handle(&mut self, event: ScopeEvent, now: BootTime) -> Vec<ScopeAction> {
        self.timer.start(now);
        self.take_event(event, now);
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    fn take_event(&mut self, event: ScopeEvent, now: BootTime) {
        match event {
            ScopeEvent::Tick => {}
            ScopeEvent::SpecChanged(spec) => self.take_spec(spec),
            ScopeEvent::HostsChanged(hosts) => self.take_hosts(hosts, now),
            ScopeEvent::MapObserved {
                epoch,
                valid_until,
                map,
            } => self.take_map(epoch, valid_until, map, now),
            ScopeEvent::MapsReplaced(version) => {
                if let Some(term) = &mut self.term {
                    term.maps.replaced(version, now);
                    self.dirty = true;
                }
            }
            ScopeEvent::ScopeRead { sent_at, result } => self.take_read(sent_at, result, now),
            ScopeEvent::ScopeWritten { write, result } => self.take_written(write, result, now),
            ScopeEvent::PromiseAnswered {
                elector,
                sent_at,
                reply,
            } => self.take_promise(&elector, sent_at, reply.as_ref()),
            ScopeEvent::OrderAnswered {
                server,
                order,
                sent_at: _,
                result,
            } => self.take_order_answer(&server, order, result, now),
            ScopeEvent::LoadObserved(rates) => {
                if let Some(term) = &mut self.term {
                    term.load.observe(&rates);
                    self.dirty = true;
                }
            }
            ScopeEvent::ServersLeaving(servers) => {
                self.leaving_servers = servers.into_iter().collect();
                self.dirty = true;
            }
            ScopeEvent::WallClock { millis } => self.wall = Some((millis, now)),
            ScopeEvent::RecordsArchived { up_to } => {
                self.archived = self.archived.max(up_to);
                self.dirty = true;
            }
            ScopeEvent::HandoverOffered => self.timer.offer_handover(),
            ScopeEvent::ConfirmLost => self.confirm_lost(),
            ScopeEvent::Resign => {
                self.resigning = true;
                self.dirty = true;
            }
        }
    }

    fn advance(&mut self, now: BootTime) {
        self.expire_read(now);
        if let Some(action) = self.writer.drive(now) {
            self.actions.push(action);
        }
        if self.writer.needs_read() {
            self.request_read(now);
        }
        if self.term.is_some() {
            self.drive_term(now);
        } else {
            self.drive_candidacy(now);
        }
    }

    fn take_spec(&mut self, spec: Arc<ScopeSpec>) {
        let older = self
            .spec
            .as_ref()
            .is_some_and(|current| current.version > spec.version);
        if older {
            return;
        }
        self.spec = Some(spec);
        self.dirty = true;
    }

    fn take_hosts(&mut self, hosts: Vec<HostInfo>, now: BootTime) {
        if let Some(own) = hosts.iter().find(|host| host.id == self.host.id) {
            self.host.leaving = own.leaving;
        }
        self.hosts.replace(hosts, now);
        self.dirty = true;
    }

    fn take_map(
        &mut self,
        epoch: Epoch,
        valid_until: BootTime,
        map: Option<Arc<RoutingMap>>,
        now: BootTime,
    ) {
        self.timer.map_observed(epoch, valid_until, now);
        if self.term.as_ref().is_some_and(|term| term.epoch < epoch) {
            self.step_down(now);
        }
        if map.is_some() {
            self.last_map = map;
        }
        let waiting = self.role == ScopeRole::Candidate
            && self.term.is_none()
            && self.writer.pending_state().is_none();
        if waiting && !self.timer.is_due_at(now) {
            self.role = ScopeRole::Idle;
        }
    }

    fn take_read(
        &mut self,
        sent_at: BootTime,
        result: Result<Option<(ObjectVersion, ScopeState)>, ReadFailure>,
        now: BootTime,
    ) {
        self.reading_since = None;
        let Ok(read) = result else {
            self.read_not_before = now + RETRY_PAUSE;
            return;
        };
        let version = read.as_ref().map(|(version, _)| *version);
        let held = self.object.as_ref().map(|object| object.version);
        if version < held {
            return;
        }
        if !self.writer.read(version, now) {
            return;
        }
        self.questioned = false;
        let Some((version, state)) = read else {
            self.decide_takeover(None, now);
            return;
        };
        self.take_object(HeldObject { version, state }, sent_at, now);
    }

    fn take_object(&mut self, object: HeldObject, sent_at: BootTime, now: BootTime) {
        let ours = object.state.held_by(&self.host.id, self.nonce);
        let current = self
            .term
            .as_ref()
            .is_some_and(|term| term.epoch == object.state.epoch);
        let claimed = ours && self.term.is_none() && self.timer.claimed == object.state.epoch;
        if ours && (current || claimed) {
            self.commit(object, sent_at, now);
            return;
        }
        if self.term.is_some() {
            let jitter = self.jitter();
            self.timer.superseded(object.state.epoch, jitter, now);
            self.object = Some(object);
            self.step_down(now);
            return;
        }
        self.decide_takeover(Some(object), now);
    }

    fn take_written(
        &mut self,
        write: WriteId,
        result: Result<ObjectVersion, WriteFailure>,
        now: BootTime,
    ) {
        match self.writer.answered(write, result, now) {
            WriteOutcome::Committed(version, state, sent_at) => {
                let state = *state;
                self.commit(HeldObject { version, state }, sent_at, now);
            }
            WriteOutcome::Dropped => self.write_dropped(now),
            WriteOutcome::Open => {}
        }
    }

    /// The object has this content, and this process holds its term.
    fn commit(&mut self, object: HeldObject, sent_at: BootTime, now: BootTime) {
        self.contact_at = self.contact_at.max(sent_at);
        let newer = self
            .object
            .as_ref()
            .is_none_or(|held| held.version < object.version);
        if !newer && self.term.is_some() {
            return;
        }
        self.counters.writes += 1;
        self.dirty = true;
        if self.term.is_none() {
            self.start_term(object, now);
            return;
        }
        self.note_moves(&object.state);
        let resigned = object.state.resigned;
        let electors = object.state.electors.clone();
        self.object = Some(object);
        if let Some(term) = &mut self.term {
            term.authority.settle(&electors);
        }
        if resigned {
            self.finish_resignation(now);
        }
    }

    /// Ends the term or the candidacy.
    pub(super) fn step_down(&mut self, now: BootTime) {
        self.writer.abandon();
        self.term = None;
        self.timer.claimed = Epoch::default();
        self.questioned = false;
        self.timer.restart(now);
        if self.role != ScopeRole::Idle {
            self.role = ScopeRole::Idle;
            self.actions.push(ScopeAction::SteppedDown);
        }
    }

    fn expire_read(&mut self, now: BootTime) {
        if self
            .reading_since
            .is_some_and(|since| now > since + READ_LIMIT)
        {
            self.reading_since = None;
        }
    }

    /// Asks for a read unless one is under way or was answered too recently.
    pub(super) fn request_read(&mut self, now: BootTime) {
        if self.reading_since.is_some() || now < self.read_not_before {
            return;
        }
        self.reading_since = Some(now);
        self.read_not_before = now + RETRY_PAUSE;
        self.actions.push(ScopeAction::ReadScope);
    }

    /// Reads the object now and then, to prove the platform contact or notice a successor.
    pub(super) fn check_contact(&mut self, now: BootTime) {
        let interval = if self.is_adopting() || self.questioned || !self.has_authority(now) {
            CHECK_INTERVAL
        } else {
            CONTACT_INTERVAL
        };
        if now >= self.contact_at + interval {
            self.request_read(now);
        }
    }

    /// Wall-clock time for audit records; 0 if the daemon never told it.
    pub(super) fn wall_millis(&self, now: BootTime) -> u64 {
        self.wall.map_or(0, |(millis, at)| {
            millis + u64::try_from(now.since(at).as_millis()).unwrap_or(0)
        })
    }

    /// Role of this host.
    pub fn role(&self) -> ScopeRole {
        self.role
    }

    /// Term of the scope as this machine knows it.
    pub fn epoch(&self) -> Epoch {
        let term = self.term.as_ref().map(|term| term.epoch);
        let object = self.object.as_ref().map(|object| object.state.epoch);
        term.or(object)
            .unwrap_or_default()
            .max(self.timer.seen_epoch())
    }

    /// Controller that the scope object or the last map names.
    pub fn controller(&self) -> Option<&HostId> {
        let object = self.object.as_ref().map(|object| &object.state);
        let map = self.last_map.as_ref();
        match (object, map) {
            (Some(state), Some(map)) if map.version.epoch > state.epoch => Some(&map.controller),
            (Some(state), _) => Some(&state.controller),
            (None, map) => map.map(|map| &map.controller),
        }
    }

    /// End of the authority to issue grants and maps; in the past if there is none.
    pub fn authority_end(&self) -> BootTime {
        let Some(term) = &self.term else {
            return BootTime(0);
        };
        if self
            .writer
            .pending_state()
            .is_some_and(|state| state.resigned)
        {
            return BootTime(0);
        }
        if term.gained_at.is_some() {
            return term.authority.end().min(self.contact_at + OUTAGE_LIMIT);
        }
        if self.is_adopting() {
            return self.contact_at + PROMISE_TTL;
        }
        BootTime(0)
    }

    pub(super) fn has_authority(&self, now: BootTime) -> bool {
        now < self.authority_end()
    }

    /// Whether grants are renewed by fence, without a majority of electors.
    pub(super) fn is_adopting(&self) -> bool {
        self.term.as_ref().is_some_and(|term| term.adopting)
    }

    /// Last scope object that was read or written.
    pub fn state(&self) -> Option<&ScopeState> {
        self.object.as_ref().map(|object| &object.state)
    }

    /// Shards whose old owner has not been replaced yet.
    pub fn moves_in_flight(&self) -> usize {
        let shards = self.state().map(|state| state.shards.as_slice());
        shards
            .unwrap_or_default()
            .iter()
            .filter(|shard| matches!(shard, ShardState::Releasing { .. }))
            .count()
    }

    /// Phases of the servers, as far as this host controls the scope.
    pub fn server_phases(&self) -> Vec<(ServerId, ServerPhase)> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        term.servers
            .keys()
            .map(|id| (id.clone(), self.phase(id)))
            .collect()
    }

    /// Shards without an owner that may hold a grant.
    pub fn unowned_shards(&self) -> usize {
        let shards = self.state().map(|state| state.shards.as_slice());
        shards
            .unwrap_or_default()
            .iter()
            .filter(|shard| match shard {
                ShardState::Unowned => true,
                ShardState::Owned { server, .. } => self.phase(server) == ServerPhase::Lost,
                ShardState::Releasing { .. } => false,
            })
            .count()
    }

    /// Shards that an operator pinned, with their server.
    pub(super) fn pins(&self) -> Vec<(ShardId, ServerId)> {
        self.spec
            .as_ref()
            .map(|spec| spec.pins.clone())
            .unwrap_or_default()
    }

    /// Counters since the process started.
    pub fn counters(&self) -> &ScopeCounters {
        &self.counters
    }
}
