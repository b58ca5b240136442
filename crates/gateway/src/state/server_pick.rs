//! Choice of the server for one attempt of a request.

use {
    super::{HostState, host_state::StateInner},
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, AnswerKind, Candidate, GaugeReading, ReportedLoad,
            choose_server, retry_after,
        },
        fleet::{ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName},
        ownership::OwnerLookup,
        time::BootTime,
    },
    std::{sync::Arc, time::Duration},
};

/// Time after which a leaving server gets no keyed request any more, even if its keys
/// have no other owner yet. No request may reach it 2 s after the store learned of it.
const LEAVER_LIMIT: Duration = Duration::from_millis(1_300);

/// Time that a usual move of a key takes: the end of the old owner's running work, two
/// writes and a grant. Requests wait for such moves, and not for longer ones.
const MOVE_TIME: Duration = Duration::from_millis(1_200);

/// Time for which an owner that refused a key as not its own is not asked for keys.
const NOT_OWNER_PAUSE: Duration = Duration::from_millis(200);

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Key, for keyed services.
    pub key: Option<u16>,
    /// Servers that were tried for this request.
    pub tried: &'a [ServerId],
    /// Time bounds.
    pub rule: AdmissionRule,
}

/// Why no server gets the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// The service has no server.
    NoServer,
    /// Its servers have too much to do.
    Overloaded,
    /// The time left does not suffice.
    TooLate,
    /// The key's owner does not react.
    OwnerSilent,
    /// The key has no owner, and a change is not expected at once.
    NoOwner,
    /// The request has no key, but the service is keyed.
    NoKey,
}

/// Result of the choice.
#[derive(Debug)]
pub enum ServerPick {
    /// Send it there.
    Send(ServerEntry, ServerPermit),
    /// The key has no owner at this moment, but should have one before this time is over.
    Unowned(Duration),
    /// Refuse it; the caller may retry after this time.
    Refuse(PickRefusal, Duration),
}

/// Counts one request at a server until it has ended.
#[derive(Debug)]
pub struct ServerPermit {
    state: Arc<HostState>,
    server: ServerId,
    started: BootTime,
    open: bool,
}

impl ServerPermit {
    /// Ends the request.
    pub fn end(mut self, kind: AnswerKind, load: Option<ReportedLoad>) {
        self.finish(kind, load);
    }

    fn finish(&mut self, kind: AnswerKind, load: Option<ReportedLoad>) {
        self.open = false;
        let latency = self.state.now().since(self.started);
        self.state.exchange_ended(&self.server, kind, load, latency);
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if self.open {
            self.finish(AnswerKind::Abandoned, None);
        }
    }
}

impl StateInner {
    fn is_usable(&self, entry: &ServerEntry, now: BootTime) -> bool {
        let known = self.fleet.get(&entry.id);
        let same = known.is_some_and(|known| known.incarnation == entry.incarnation);
        let leaving = self.fleet.leaving_since(&entry.id);
        same && leaving.is_none_or(|since| now.since(since) < LEAVER_LIMIT)
    }

    fn no_owner(&mut self) -> ServerPick {
        let spread = rand::RngExt::random(&mut self.random);
        ServerPick::Refuse(PickRefusal::NoOwner, retry_after(None, spread))
    }
}

impl HostState {
    /// Chooses a server and counts the request there.
    pub fn pick_server(self: &Arc<Self>, query: PickQuery<'_>) -> ServerPick {
        let keyed = self
            .table()
            .and_then(|table| Some(table.services.get(query.service)?.keyed))
            .unwrap_or(false);
        match (keyed, query.key) {
            (true, Some(key)) => self.pick_owner(query, key),
            (true, None) => ServerPick::Refuse(PickRefusal::NoKey, Duration::ZERO),
            (false, _) => self.pick_any(query),
        }
    }

    /// Counts a request for a key, whether it is served or not.
    pub fn count_key(&self, service: &ServiceName, key: u16) {
        let mut inner = self.lock();
        let counts = inner.key_counts.entry(service.clone()).or_default();
        *counts.entry(key).or_default() += 1;
    }

    fn pick_owner(self: &Arc<Self>, query: PickQuery<'_>, key: u16) -> ServerPick {
        let now = self.now();
        let mut inner = self.lock();
        let owner = match inner.owners.find(query.service, key) {
            OwnerLookup::Owner(owner) => owner,
            OwnerLookup::Moving(since) if now.since(since) < MOVE_TIME => {
                return ServerPick::Unowned(MOVE_TIME - now.since(since));
            }
            OwnerLookup::Moving(_) | OwnerLookup::Unassigned => return inner.no_owner(),
        };
        let entry = match inner.fleet.get(&owner.id) {
            Some(entry) if entry.incarnation == owner.incarnation => entry.clone(),
            _ => return inner.no_owner(),
        };
        let not_owner_until = inner.not_owner_until.get(&owner.id);
        if !inner.is_usable(&entry, now) || not_owner_until.is_some_and(|until| now < *until) {
            return inner.no_owner();
        }
        let Some(gauge) = inner.gauges.get_mut(&owner.id) else {
            return inner.no_owner();
        };
        let reading = gauge.read(now);
        let refusal = match query.rule.decide(reading) {
            _ if reading.avoided => Some(PickRefusal::OwnerSilent),
            Admission::Send => None,
            Admission::Overloaded => Some(PickRefusal::Overloaded),
            Admission::TooLate => Some(PickRefusal::TooLate),
        };
        if let Some(refusal) = refusal {
            let spread = rand::RngExt::random(&mut inner.random);
            return ServerPick::Refuse(refusal, retry_after(Some(reading), spread));
        }
        gauge.record_sent();
        drop(inner);
        self.permit(entry, now)
    }

    /// Whether a request that was given to the server may still be sent to it.
    pub fn is_usable(&self, entry: &ServerEntry) -> bool {
        let now = self.now();
        self.lock().is_usable(entry, now)
    }

    /// Records that a server refused a key that it does not own.
    pub fn note_not_owner(&self, server: &ServerId) {
        let until = self.now() + NOT_OWNER_PAUSE;
        self.lock().not_owner_until.insert(server.clone(), until);
    }

    fn pick_any(self: &Arc<Self>, query: PickQuery<'_>) -> ServerPick {
        let now = self.now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let mut entries = Vec::new();
        let mut candidates = Vec::new();
        for entry in inner.fleet.entries() {
            if entry.service != *query.service || entry.phase != ServerPhase::Ready {
                continue;
            }
            let Some(gauge) = inner.gauges.get(&entry.id) else {
                continue;
            };
            let reading = gauge.read(now);
            candidates.push(Candidate {
                reading,
                admitted: query.rule.decide(reading) == Admission::Send,
                local: entry.zone == self.settings.zone,
                tried: query.tried.contains(&entry.id),
            });
            entries.push(entry);
        }
        let Some(at) = choose_server(&candidates, query.rule.target_latency, &mut inner.random)
        else {
            let spread = rand::RngExt::random(&mut inner.random);
            return ServerPick::Refuse(PickRefusal::NoServer, retry_after(None, spread));
        };
        let reading: GaugeReading = candidates[at].reading;
        let refusal = match query.rule.decide(reading) {
            Admission::Send => None,
            Admission::Overloaded => Some(PickRefusal::Overloaded),
            Admission::TooLate => Some(PickRefusal::TooLate),
        };
        if let Some(refusal) = refusal {
            let spread = rand::RngExt::random(&mut inner.random);
            return ServerPick::Refuse(refusal, retry_after(Some(reading), spread));
        }
        let entry = entries[at].clone();
        if let Some(gauge) = inner.gauges.get_mut(&entry.id) {
            gauge.record_sent();
        }
        self.permit(entry, now)
    }

    fn permit(self: &Arc<Self>, entry: ServerEntry, started: BootTime) -> ServerPick {
        let permit = ServerPermit {
            state: self.clone(),
            server: entry.id.clone(),
            started,
            open: true,
        };
        ServerPick::Send(entry, permit)
    }
}
