//! The machine of one scope on one host.

use {
    super::{
        HostInfo, ScopeAction, ScopeCounters, ScopeEvent, ScopeRole, ScopeSpec,
        candidacy::CandidacyTimer,
        controller_term::{ControllerTerm, Predecessor},
        host_table::HostTable,
        object_writer::{ObjectWriter, RETRY_PAUSE},
    },
    crate::{
        ids::{Epoch, ObjectVersion, ServerId, ServiceName},
        map::RoutingMap,
        scope::ScopeState,
        time::BootTime,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

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
    pub(super) reading_since: Option<BootTime>,
    pub(super) read_not_before: BootTime,
    pub(super) read_pause: Duration,
    pub(super) wall: Option<(u64, BootTime)>,
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
            read_pause: RETRY_PAUSE,
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
            ScopeEvent::MapsDrained(version) => {
                if let Some(term) = &mut self.term {
                    term.maps.drained(version, now);
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
            ScopeEvent::ConfirmLost => self.confirm_lost(now),
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
        let own = map
            .as_ref()
            .is_some_and(|map| map.controller == self.host.id);
        self.timer.map_observed(epoch, valid_until, own, now);
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
}
