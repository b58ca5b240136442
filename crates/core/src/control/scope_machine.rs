//! The state machine of one scope on one host: its state and the handling of events.

use {
    super::{
        HostInfo, ScopeAction, ScopeCounters, ScopeEvent, ScopeRole, ScopeSpec,
        candidacy::CandidacyTimer,
        controller_term::{ControllerTerm, Predecessor},
        host_table::HostTable,
        object_writer::{ObjectWriter, RETRY_DELAY},
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

/// The scope object as last read or written.
#[derive(Clone, Debug)]
pub(super) struct VersionedState {
    pub(super) version: ObjectVersion,
    pub(super) state: ScopeState,
}

/// The state machine of one scope on one host.
///
/// Each order, read, write and promise request must be answered by exactly one event.
/// The daemon must keep the addresses of servers that left the configuration, because
/// the machine sends them orders until their shards have moved.
#[derive(Clone, Debug)]
pub struct ScopeMachine {
    pub(super) service: ServiceName,
    pub(super) host: HostInfo,
    /// Distinguishes the processes that have run under the same host id.
    pub(super) nonce: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) spec: Option<Arc<ScopeSpec>>,
    pub(super) hosts: HostTable,
    /// Servers that the platform lists as about to leave.
    pub(super) leaving_servers: BTreeSet<ServerId>,
    pub(super) last_map: Option<Arc<RoutingMap>>,
    pub(super) role: ScopeRole,
    pub(super) candidacy_timer: CandidacyTimer,
    pub(super) object: Option<VersionedState>,
    pub(super) writer: ObjectWriter,
    /// Read from the scope object by the last takeover.
    pub(super) predecessor: Predecessor,
    /// State of the term that this process holds, if it holds one.
    pub(super) term: Option<ControllerTerm>,
    pub(super) counters: ScopeCounters,
    /// Number of the last order that was sent.
    pub(super) last_order: u64,
    /// Number of the last set that was granted.
    pub(super) last_set: u64,
    /// Number of the last archived audit record.
    pub(super) archived_up_to: u64,
    /// The host shuts down and gives up its role.
    pub(super) resigning: bool,
    /// An answer suggests that another process holds this or a newer term; the object is read
    /// soon.
    pub(super) may_be_superseded: bool,
    /// Something changed that the plan, the map or the orders may depend on.
    pub(super) dirty: bool,
    /// Send time of the last platform call that confirmed this term.
    pub(super) platform_contact_at: BootTime,
    /// When the pending read was requested.
    pub(super) reading_since: Option<BootTime>,
    pub(super) read_not_before: BootTime,
    pub(super) read_pause: Duration,
    /// Last wall-clock time in milliseconds, and when it was received.
    pub(super) wall_clock: Option<(u64, BootTime)>,
    /// Actions to return from the current call of `handle`.
    pub(super) actions: Vec<ScopeAction>,
}

impl ScopeMachine {
    /// Creates the machine of a process that just started.
    ///
    /// `nonce` must differ from those of earlier processes on this host; `seed` determines
    /// the random delays.
    pub fn new(service: ServiceName, host: HostInfo, nonce: u64, seed: u64) -> Self {
        Self {
            service,
            host,
            nonce,
            rng: ChaCha8Rng::seed_from_u64(seed),
            spec: None,
            hosts: HostTable::default(),
            leaving_servers: BTreeSet::new(),
            last_map: None,
            role: ScopeRole::Idle,
            candidacy_timer: CandidacyTimer::default(),
            object: None,
            writer: ObjectWriter::default(),
            predecessor: Predecessor::default(),
            term: None,
            counters: ScopeCounters::default(),
            last_order: 0,
            last_set: 0,
            archived_up_to: 0,
            resigning: false,
            may_be_superseded: false,
            dirty: false,
            platform_contact_at: BootTime(0),
            reading_since: None,
            read_not_before: BootTime(0),
            read_pause: RETRY_DELAY,
            wall_clock: None,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to execute, in this order.
    pub fn handle(&mut self, event: ScopeEvent, now: BootTime) -> Vec<ScopeAction> {
        self.candidacy_timer.start(now);
        self.dispatch_event(event, now);
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    fn dispatch_event(&mut self, event: ScopeEvent, now: BootTime) {
        match event {
            ScopeEvent::Tick => {}
            ScopeEvent::SpecChanged(spec) => self.handle_spec(spec),
            ScopeEvent::HostsChanged(hosts) => self.handle_hosts(hosts, now),
            ScopeEvent::MapObserved {
                epoch,
                valid_until,
                map,
            } => self.handle_map(epoch, valid_until, map, now),
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
            ScopeEvent::ScopeRead { sent_at, result } => {
                self.handle_read_answer(sent_at, result, now)
            }
            ScopeEvent::ScopeWritten { write, result } => {
                self.handle_write_answer(write, result, now)
            }
            ScopeEvent::PromiseAnswered {
                elector,
                sent_at,
                reply,
            } => self.handle_promise_answer(&elector, sent_at, reply.as_ref()),
            ScopeEvent::OrderAnswered {
                server,
                order,
                sent_at: _,
                result,
            } => self.handle_order_answer(&server, order, result, now),
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
            ScopeEvent::WallClock { millis } => self.wall_clock = Some((millis, now)),
            ScopeEvent::RecordsArchived { up_to } => {
                self.archived_up_to = self.archived_up_to.max(up_to);
                self.dirty = true;
            }
            ScopeEvent::HandoverOffered => self.candidacy_timer.offer_handover(),
            ScopeEvent::ConfirmLost => self.confirm_lost(now),
            ScopeEvent::ShutdownRequested => {
                self.resigning = true;
                self.dirty = true;
            }
        }
    }

    /// Does what is due after an event or at this time.
    fn advance(&mut self, now: BootTime) {
        self.expire_read(now);
        if let Some(action) = self.writer.retry_if_due(now) {
            self.actions.push(action);
        }
        if self.writer.needs_read() {
            self.request_read(now);
        }
        if self.term.is_some() {
            self.run_term(now);
        } else {
            self.run_candidacy(now);
        }
    }

    fn handle_spec(&mut self, spec: Arc<ScopeSpec>) {
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

    fn handle_hosts(&mut self, hosts: Vec<HostInfo>, now: BootTime) {
        if let Some(own) = hosts.iter().find(|host| host.id == self.host.id) {
            self.host.leaving = own.leaving;
        }
        self.hosts.replace(hosts, now);
        self.dirty = true;
    }

    fn handle_map(
        &mut self,
        epoch: Epoch,
        valid_until: BootTime,
        map: Option<Arc<RoutingMap>>,
        now: BootTime,
    ) {
        let own = map
            .as_ref()
            .is_some_and(|map| map.controller == self.host.id);
        self.candidacy_timer
            .map_observed(epoch, valid_until, own, now);
        if self.term.as_ref().is_some_and(|term| term.epoch < epoch) {
            self.step_down(now);
        }
        if map.is_some() {
            self.last_map = map;
        }
        let waiting = self.role == ScopeRole::Candidate
            && self.term.is_none()
            && self.writer.pending_state().is_none();
        if waiting && !self.candidacy_timer.is_due(now) {
            self.role = ScopeRole::Idle;
        }
    }

    /// Ends the term or the candidacy; this host becomes idle.
    pub(super) fn step_down(&mut self, now: BootTime) {
        self.writer.abandon();
        self.term = None;
        self.candidacy_timer.claimed_epoch = Epoch::default();
        self.may_be_superseded = false;
        self.candidacy_timer.restart(now);
        if self.role != ScopeRole::Idle {
            self.role = ScopeRole::Idle;
            self.actions.push(ScopeAction::SteppedDown);
        }
    }
}
