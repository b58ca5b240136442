//! Selects the server for one attempt of a request.

use {
    super::{
        HostState,
        admission_tracking::answer_rate,
        host_state::StateInner,
        warmup_tracking::{ClosedGate, pass_gates},
    },
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, Candidate, GaugeReading, KeyAdmission, ReportedLoad,
            RequestOutcome, RequestRate, ReturnTarget, ServerGauge, retry_after, retry_after_pause,
        },
        fleet::{FleetView, ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName, ZoneName},
        ownership::OwnerLookup,
        routing::RouteRank,
        time::BootTime,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Time after which a leaving server gets no more keyed requests, even if its keys have no
/// new owner yet. No request may reach a server later than 2 s after the store shows or an answer
/// announces that it leaves.
const LEAVING_SERVER_GRACE: Duration = Duration::from_millis(1_300);

/// Usual duration of a move of keys: the old owner finishes its running requests, then follow
/// two writes to the store and a grant. Requests wait this long for a move and no longer.
const EXPECTED_MOVE_DURATION: Duration = Duration::from_millis(1_200);

/// Limited servers that a request is tried at before it goes to a server without a limit. Each
/// choice looks at all servers of the service.
const MAX_CLOSED_GATES: u32 = 2;

/// Requirements of a request for its server.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery<'a> {
    /// Service whose servers are eligible.
    pub service: &'a ServiceName,
    /// Key of the request, for keyed services.
    pub key: Option<u16>,
    /// Servers already tried for this request.
    pub tried: &'a [ServerId],
    /// Limits on the expected time at the server.
    pub rule: AdmissionRule,
    /// Rank of the request's route.
    pub rank: RouteRank,
    /// Whether the request has waited for room at its server.
    pub is_waiting: bool,
    /// Whether the times are planned at which callers of refused requests return.
    pub plans_returns: bool,
}

/// Why no server gets the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// The service has no server.
    NoServer,
    /// The service's servers are overloaded.
    Overloaded,
    /// The key has more requests than its owner can take.
    HotKey,
    /// The servers that could take the request limit the rate of requests.
    Limited,
    /// The servers that could take the request want none for a time.
    Paused,
    /// The expected time exceeds the time left until the deadline.
    TooLate,
    /// The server that owns the key does not respond.
    OwnerUnresponsive,
    /// The server that owns the key is in an evacuated zone, and the time for its keys to move is over.
    OwnerEvacuated,
    /// The key has no usable owner, and none is expected soon enough to wait for.
    NoOwner,
    /// The request has no key, but the service is keyed.
    NoKey,
}

impl PickRefusal {
    /// Why a server with this admission decision does not get the request; `None` if it does.
    fn of(admission: Admission) -> Option<Self> {
        match admission {
            Admission::Send => None,
            Admission::Overloaded => Some(Self::Overloaded),
            Admission::TooLate => Some(Self::TooLate),
        }
    }
}

/// Result of the selection.
#[derive(Debug)]
pub enum ServerPick {
    /// Send the request to this server; the permit counts it there.
    Send(ServerEntry, ServerPermit),
    /// The key is moving and is expected to have an owner within this time.
    Unowned(Duration),
    /// Refuse the request; the caller may retry after this time.
    Refuse(PickRefusal, Duration),
}

/// Counts one request as in flight at a server until it ends or the permit is dropped.
#[derive(Debug)]
pub struct ServerPermit {
    state: Arc<HostState>,
    server: ServerId,
    started: BootTime,
    open: bool,
}

impl ServerPermit {
    /// Records the limit in the server's answer; `None` if the answer names none.
    pub fn record_limit(&self, limit: Option<RequestRate>) {
        self.state.record_limit(&self.server, limit);
    }

    /// Records how the request ended.
    pub fn end(mut self, outcome: RequestOutcome, load: Option<ReportedLoad>) {
        self.finish(outcome, load);
    }

    fn finish(&mut self, outcome: RequestOutcome, load: Option<ReportedLoad>) {
        self.open = false;
        let latency = self.state.now().since(self.started);
        self.state
            .record_exchange_end(&self.server, outcome, load, latency);
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if self.open {
            self.finish(RequestOutcome::Abandoned, None);
        }
    }
}

/// Servers that a request without a key may go to.
#[derive(Debug, Default)]
struct ServerOffers<'f> {
    entries: Vec<&'f ServerEntry>,
    /// The same servers, as the choice sees them.
    candidates: Vec<Candidate>,
    /// Time until the first of the other servers takes requests again that are paused.
    pause_left: Option<Duration>,
}

impl ServerOffers<'_> {
    fn remove(&mut self, at: usize) {
        self.entries.swap_remove(at);
        self.candidates.swap_remove(at);
    }

    fn retain(&mut self, mut is_kept: impl FnMut(&ServerEntry) -> bool) {
        for at in (0..self.entries.len()).rev() {
            if !is_kept(self.entries[at]) {
                self.remove(at);
            }
        }
    }
}

impl StateInner {
    /// Ready servers of a service without keys that are not paused. If no server is ready, those that
    /// have announced to leave and still take requests.
    fn list_offers<'f>(
        &self,
        fleet: &'f FleetView,
        query: PickQuery<'_>,
        zone: &ZoneName,
        now: BootTime,
    ) -> ServerOffers<'f> {
        let is_ready = |entry: &ServerEntry| entry.phase == ServerPhase::Ready;
        let offers = self.list_servers(fleet, query, zone, now, is_ready);
        if !offers.entries.is_empty() || offers.pause_left.is_some() {
            return offers;
        }
        let still_serves = |entry: &ServerEntry| {
            fleet.is_only_announced(&entry.id) && self.is_in_service(entry, now)
        };
        self.list_servers(fleet, query, zone, now, still_serves)
    }

    /// Servers of a service without keys that `is_offered` accepts and that are not paused.
    fn list_servers<'f>(
        &self,
        fleet: &'f FleetView,
        query: PickQuery<'_>,
        zone: &ZoneName,
        now: BootTime,
        is_offered: impl Fn(&ServerEntry) -> bool,
    ) -> ServerOffers<'f> {
        let mut offers = ServerOffers::default();
        for entry in fleet.entries() {
            if entry.service != *query.service || !is_offered(entry) {
                continue;
            }
            if self.evacuations.is_evacuated(&entry.zone) {
                continue;
            }
            let Some(gauge) = self.gauges.get(&entry.id) else {
                continue;
            };
            if let Some(left) = self.pauses.time_left(entry, now) {
                offers.pause_left = Some(offers.pause_left.map_or(left, |least| least.min(left)));
                continue;
            }
            let reading = gauge.read(now);
            offers.candidates.push(Candidate {
                reading,
                admitted: query.rule.decide(reading) == Admission::Send,
                local: entry.zone == *zone,
                tried: query.tried.contains(&entry.id),
            });
            offers.entries.push(entry);
        }
        offers
    }

    /// Whether the server has not restarted, and has not been leaving for longer than
    /// `LEAVING_SERVER_GRACE`.
    fn is_in_service(&self, entry: &ServerEntry, now: BootTime) -> bool {
        let known = self.fleet.get(&entry.id);
        let same_incarnation = known.is_some_and(|known| known.incarnation == entry.incarnation);
        let leaving = self.fleet.leaving_since(&entry.id);
        same_incarnation && leaving.is_none_or(|since| now.since(since) < LEAVING_SERVER_GRACE)
    }

    fn is_limited(&self, server: &ServerId) -> bool {
        let gauge = self.gauges.get(server);
        gauge.is_some_and(|gauge| gauge.limit_gate().is_some())
    }

    fn refuse_limited(&mut self, gate: &ClosedGate, now: BootTime) -> ServerPick {
        let jitter = rand::RngExt::random(&mut self.random);
        let wait = gate.retry_after(self.warmup_hosts(), jitter, now);
        ServerPick::Refuse(PickRefusal::Limited, wait)
    }

    fn refuse_owner(
        &mut self,
        query: PickQuery<'_>,
        refusal: PickRefusal,
        owner: ServerId,
        reading: GaugeReading,
        now: BootTime,
    ) -> ServerPick {
        let target = ReturnTarget::Owner(owner);
        let load = (reading, answer_rate(&reading));
        let retry_after = self.plan_return(query, refusal, target, load, now);
        ServerPick::Refuse(refusal, retry_after)
    }

    fn refuse_paused(&mut self, left: Duration) -> ServerPick {
        let spread = rand::RngExt::random(&mut self.random);
        ServerPick::Refuse(PickRefusal::Paused, retry_after_pause(left, spread))
    }

    fn refuse_evacuated(&mut self) -> ServerPick {
        let jitter = rand::RngExt::random(&mut self.random);
        ServerPick::Refuse(PickRefusal::OwnerEvacuated, retry_after(None, jitter))
    }

    fn refuse_unowned(&mut self) -> ServerPick {
        let jitter = rand::RngExt::random(&mut self.random);
        ServerPick::Refuse(PickRefusal::NoOwner, retry_after(None, jitter))
    }
}

impl HostState {
    /// Selects a server and counts the request as in flight there.
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

    /// Counts a request for a key, even if it is not served.
    pub fn count_key(&self, service: &ServiceName, key: u16) {
        let mut inner = self.lock();
        let counts = inner.key_counts.entry(service.clone()).or_default();
        *counts.entry(key).or_default() += 1;
    }

    /// Selects the server that owns the key.
    fn pick_owner(self: &Arc<Self>, query: PickQuery<'_>, key: u16) -> ServerPick {
        let now = self.now();
        let mut inner = self.lock();
        let owner = match inner.owners.lookup(query.service, key) {
            OwnerLookup::Owner(owner) => owner,
            OwnerLookup::Moving(since) if now.since(since) < EXPECTED_MOVE_DURATION => {
                return ServerPick::Unowned(EXPECTED_MOVE_DURATION - now.since(since));
            }
            OwnerLookup::Moving(_) | OwnerLookup::Unassigned => return inner.refuse_unowned(),
        };
        let entry = match inner.fleet.get(&owner.id) {
            Some(entry) if entry.incarnation == owner.incarnation => entry.clone(),
            _ => return inner.refuse_unowned(),
        };
        if !inner.is_in_service(&entry, now)
            || inner.has_refused(query.service, key, &owner.id, now)
        {
            return inner.refuse_unowned();
        }
        if !inner.evacuations.may_use_owner(&entry.zone, now) {
            self.counters.evacuated.fetch_add(1, Ordering::Relaxed);
            return inner.refuse_evacuated();
        }
        if let Some(left) = inner.pauses.time_left(&entry, now) {
            return inner.refuse_paused(left);
        }
        let (hosts, warmup_hosts) = (inner.hosts(), inner.warmup_hosts());
        let Some(reading) = inner.gauges.get(&owner.id).map(|gauge| gauge.read(now)) else {
            return inner.refuse_unowned();
        };
        let mut rule = query.rule;
        // The share counts requests of callers; further attempts belong to the same request.
        if query.tried.is_empty() && !query.is_waiting {
            let key_gates = &mut inner.admission.key_gates;
            match key_gates.admit(query.service, key, now) {
                KeyAdmission::NotHot => {}
                KeyAdmission::Admitted => rule.is_hot_key = true,
                KeyAdmission::Refused(_) => {
                    return inner.refuse_owner(query, PickRefusal::HotKey, owner.id, reading, now);
                }
            }
        }
        let refusal = match reading.avoided {
            true => Some(PickRefusal::OwnerUnresponsive),
            false => PickRefusal::of(inner.decide_admission(query, rule, reading)),
        };
        if let Some(refusal) = refusal {
            return inner.refuse_owner(query, refusal, owner.id, reading, now);
        }
        let Some(gauge) = inner.gauges.get_mut(&owner.id) else {
            return inner.refuse_unowned();
        };
        if let Some(gate) = pass_gates(gauge, hosts, warmup_hosts, now) {
            self.count_closed_gate(&gate);
            return inner.refuse_limited(&gate, now);
        }
        self.record_sent(gauge);
        drop(inner);
        self.permit(entry, now)
    }

    /// Whether a request assigned to the server may still be sent there: the server has not
    /// restarted since, has not been leaving for longer than `LEAVING_SERVER_GRACE`, is not paused,
    /// and its zone is not evacuated.
    pub fn may_send_to(&self, entry: &ServerEntry) -> bool {
        let now = self.now();
        let inner = self.lock();
        inner.is_in_service(entry, now)
            && inner.pauses.time_left(entry, now).is_none()
            && inner.zone_allows(entry, now)
    }

    /// Whether the server wants no requests from this host for a time.
    pub fn is_paused(&self, entry: &ServerEntry) -> bool {
        let now = self.now();
        self.lock().pauses.time_left(entry, now).is_some()
    }

    /// Selects one of the ready servers of a service without keys.
    fn pick_any(self: &Arc<Self>, query: PickQuery<'_>) -> ServerPick {
        let now = self.now();
        let zone = &self.settings.zone;
        let mut inner = self.lock();
        let inner = &mut *inner;
        let fleet = inner.fleet.clone();
        let mut offers = inner.list_offers(&fleet, query, zone, now);
        let (hosts, warmup_hosts) = (inner.hosts(), inner.warmup_hosts());
        let mut closed_gate: Option<ClosedGate> = None;
        let mut closed_gates = 0;
        let target = query.rule.target_latency;
        let wanted = inner.next_zone(query.service, zone, now);
        while let Some((at, cause)) =
            inner.choose_offer(&offers.entries, &offers.candidates, wanted.as_ref(), target)
        {
            let reading: GaugeReading = offers.candidates[at].reading;
            let admission = inner.decide_admission(query, query.rule, reading);
            if let Some(refusal) = PickRefusal::of(admission) {
                let readings = offers.candidates.iter().map(|candidate| &candidate.reading);
                let load = (reading, readings.map(answer_rate).sum());
                let target = ReturnTarget::Service(query.service.clone());
                let retry_after = inner.plan_return(query, refusal, target, load, now);
                return ServerPick::Refuse(refusal, retry_after);
            }
            let entry = offers.entries[at].clone();
            if let Some(gauge) = inner.gauges.get_mut(&entry.id) {
                if let Some(gate) = pass_gates(gauge, hosts, warmup_hosts, now) {
                    self.count_closed_gate(&gate);
                    closed_gate = Some(gate);
                    closed_gates += 1;
                    offers.remove(at);
                    if closed_gates == MAX_CLOSED_GATES {
                        offers = inner.list_offers(&fleet, query, zone, now);
                        offers.retain(|entry| {
                            !inner.is_limited(&entry.id)
                                && !inner.has_closed_warmup_gate(&entry.id, now)
                        });
                    }
                    continue;
                }
                self.record_sent(gauge);
            }
            inner.zone_traffic.count_sent(&entry, cause);
            return self.permit(entry, now);
        }
        if let Some(gate) = closed_gate {
            return inner.refuse_limited(&gate, now);
        }
        if let Some(left) = offers.pause_left {
            return inner.refuse_paused(left);
        }
        let jitter = rand::RngExt::random(&mut inner.random);
        ServerPick::Refuse(PickRefusal::NoServer, retry_after(None, jitter))
    }

    fn record_sent(&self, gauge: &mut ServerGauge) {
        gauge.record_sent();
        if gauge.limit_gate().is_some() {
            self.counters.limited.fetch_add(1, Ordering::Relaxed);
        }
        if gauge.warmup_gate().is_some() {
            self.counters.cold.fetch_add(1, Ordering::Relaxed);
        }
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
