//! Cold servers, and this host's part of what all hosts may send them.

use {
    super::{HostState, ServerHash, SharedLimit, WarmupReport, host_state::StateInner},
    crate::conf::GatewaySettings,
    camphorcove_core::{
        dispatch::{LimitGate, LimitedRequests, RequestRate, ServerGauge, WarmupGate, WarmupLimit},
        fleet::{FleetView, ServerEntry},
        ids::{ServerId, ServiceName, ZoneName},
        time::BootTime,
    },
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Number of hosts that a host assumes to share what a cold server takes, until the leader has counted
/// them: the target size, since a lower number could let the hosts together exceed the limit.
const ASSUMED_WARMUP_HOSTS: u32 = 500;

/// Settings of the limit on cold servers, and zones that count as cold.
#[derive(Debug)]
pub(super) struct WarmupTracking {
    overage: Option<f64>,
    slack: Option<f64>,
    /// When zones last became cold.
    cold_zones: HashMap<ZoneName, BootTime>,
}

/// Gate that holds a request back.
#[derive(Debug)]
pub(super) enum ClosedGate {
    /// Of a limit that the server names.
    Limit(LimitGate),
    /// Of a cold server.
    Warmup(WarmupGate),
}

impl WarmupTracking {
    pub(super) fn new(settings: &GatewaySettings) -> Self {
        Self {
            overage: settings.warmup_overage,
            slack: settings.warmup_slack,
            cold_zones: HashMap::new(),
        }
    }

    fn is_enabled(&self) -> bool {
        self.overage.is_some() && self.slack.is_some()
    }
}

impl ClosedGate {
    /// Time after which the caller should retry; `spread` is a random number in 0..1.
    pub(super) fn retry_after(&self, warmup_hosts: u32, spread: f64, now: BootTime) -> Duration {
        match self {
            Self::Limit(gate) => gate.retry_after(spread),
            Self::Warmup(gate) => gate.retry_after(warmup_hosts, spread, now),
        }
    }
}

/// Asks both gates of a server for a request to pass; returns the one that holds it back. `hosts` and
/// `warmup_hosts` are the numbers of hosts that share the limits.
pub(super) fn pass_gates(
    gauge: &mut ServerGauge,
    hosts: u32,
    warmup_hosts: u32,
    now: BootTime,
) -> Option<ClosedGate> {
    if let Some(gate) = gauge.warmup_gate_mut()
        && !gate.is_open(warmup_hosts, now)
    {
        // Counts the request as one that was not let through.
        gate.admit(warmup_hosts, now);
        return Some(ClosedGate::Warmup(gate.clone()));
    }
    if let Some(gate) = gauge.limit_gate_mut()
        && !gate.admit(hosts, now)
    {
        return Some(ClosedGate::Limit(gate.clone()));
    }
    if let Some(gate) = gauge.warmup_gate_mut() {
        gate.admit(warmup_hosts, now);
    }
    None
}

impl StateInner {
    /// Number of hosts that share what a cold server takes.
    pub(super) fn warmup_hosts(&self) -> u32 {
        self.host_count.value().unwrap_or(ASSUMED_WARMUP_HOSTS)
    }

    /// Limit of the cold servers of a service, and the time for which its servers are cold.
    fn warmup_limit(&self, service: &ServiceName) -> Option<(WarmupLimit, Duration)> {
        let rule = self.table.as_ref()?.services.get(service)?;
        let limit = WarmupLimit::of(rule, self.warmups.overage, self.warmups.slack)?;
        Some((limit, rule.warmup?.duration))
    }

    /// Restarts the time for which servers are cold from entries that have just arrived.
    pub(super) fn receive_warmups(&mut self, entries: &[ServerEntry], now: BootTime) {
        if !self.warmups.is_enabled() {
            return;
        }
        for entry in entries {
            let known = self.fleet.get(&entry.id);
            if known.is_none_or(|known| known.incarnation != entry.incarnation) {
                continue;
            }
            let is_limited = self.warmup_limit(&entry.service).is_some();
            if let Some(gauge) = self.gauges.get_mut(&entry.id).filter(|_| is_limited) {
                gauge.set_warmed_up_at(now + entry.warmup);
            }
        }
        self.refresh_warmups(now);
    }

    /// Adds gates for servers that have become cold and removes those of warm ones.
    pub(super) fn refresh_warmups(&mut self, now: BootTime) {
        if !self.warmups.is_enabled() {
            return;
        }
        let fleet: Arc<FleetView> = self.fleet.clone();
        let mut limits: HashMap<&ServiceName, Option<(WarmupLimit, Duration)>> = HashMap::new();
        for entry in fleet.entries() {
            let limit = *limits
                .entry(&entry.service)
                .or_insert_with(|| self.warmup_limit(&entry.service));
            let zone_since = self.warmups.cold_zones.get(&entry.zone).copied();
            let Some(gauge) = self.gauges.get_mut(&entry.id) else {
                continue;
            };
            let cold = limit.filter(|(_, duration)| {
                let in_cold_zone = zone_since.is_some_and(|since| now.since(since) < *duration);
                gauge.is_warming_up(now) || in_cold_zone
            });
            match (cold, gauge.warmup_gate_mut()) {
                (Some((limit, _)), Some(gate)) => gate.set_limit(limit),
                (Some((limit, _)), None) => {
                    let phase = rand::RngExt::random(&mut self.random);
                    gauge.set_warmup_gate(Some(WarmupGate::new(limit, phase, now)));
                    log::info!(
                        server = entry.id.as_str(),
                        service = entry.service.as_str(),
                        limit:% = limit.rate();
                        "server is cold, limiting the rate of requests to it"
                    );
                }
                (None, Some(_)) => {
                    gauge.set_warmup_gate(None);
                    log::info!(server = entry.id.as_str(); "server is warm");
                }
                (None, None) => {}
            }
        }
    }

    /// Whether the server is cold and takes no request of this host now.
    pub(super) fn has_closed_warmup_gate(&mut self, server: &ServerId, now: BootTime) -> bool {
        let hosts = self.warmup_hosts();
        let gauge = self.gauges.get_mut(server);
        let gate = gauge.and_then(ServerGauge::warmup_gate_mut);
        gate.is_some_and(|gate| !gate.is_open(hosts, now))
    }
}

impl HostState {
    /// Counts all servers of a zone as cold, from now for the time for which a server of their service is
    /// cold after its start.
    pub fn mark_zone_cold(&self, zone: &ZoneName) {
        let now = self.now();
        let mut inner = self.lock();
        inner.warmups.cold_zones.insert(zone.clone(), now);
        inner.refresh_warmups(now);
    }

    /// Requests for cold servers since the last call, for the report to the leader.
    pub fn take_warmup_reports(&self) -> Vec<WarmupReport> {
        let now = self.now();
        let mut inner = self.lock();
        inner.refresh_warmups(now);
        let mut reports = Vec::new();
        for (id, gauge) in &mut inner.gauges {
            let Some(gate) = gauge.warmup_gate_mut() else {
                continue;
            };
            let requests = gate.take_requests(now);
            if requests != LimitedRequests::default() {
                reports.push(WarmupReport {
                    server: ServerHash::of(id),
                    requests,
                });
            }
        }
        reports
    }

    /// Sets the shares that the leader lists for cold servers. Where it lists none any more, the last
    /// share expires.
    pub fn set_warmup_shares(&self, shares: &[SharedLimit]) {
        if shares.is_empty() {
            return;
        }
        let now = self.now();
        let shares: HashMap<ServerHash, &SharedLimit> =
            shares.iter().map(|share| (share.server, share)).collect();
        let mut inner = self.lock();
        for (id, gauge) in &mut inner.gauges {
            let Some(gate) = gauge.warmup_gate_mut() else {
                continue;
            };
            if let Some(listed) = shares.get(&ServerHash::of(id)) {
                gate.set_share(listed.share, now);
            }
        }
    }

    /// Cold servers, with the share that this host knows.
    pub fn warmup_shares(&self) -> Vec<SharedLimit> {
        let inner = self.lock();
        let mut shares = Vec::new();
        for (id, gauge) in &inner.gauges {
            let Some(gate) = gauge.warmup_gate() else {
                continue;
            };
            shares.push(SharedLimit {
                server: ServerHash::of(id),
                limit: gate.limit().rate(),
                share: gate.share(),
            });
        }
        shares
    }

    /// Requests a second that cold servers take from all hosts together.
    pub fn warmup_rates(&self) -> HashMap<ServerId, RequestRate> {
        let inner = self.lock();
        let mut rates = HashMap::new();
        for (id, gauge) in &inner.gauges {
            if let Some(gate) = gauge.warmup_gate() {
                rates.insert(id.clone(), gate.limit().rate());
            }
        }
        rates
    }

    /// Number of cold servers.
    pub fn cold_servers(&self) -> usize {
        let inner = self.lock();
        let cold = |gauge: &&ServerGauge| gauge.warmup_gate().is_some();
        inner.gauges.values().filter(cold).count()
    }

    /// Counts a request that the gate of a cold server held back.
    pub(super) fn count_closed_gate(&self, gate: &ClosedGate) {
        if matches!(gate, ClosedGate::Warmup(_)) {
            self.counters.cold_refused.fetch_add(1, Ordering::Relaxed);
        }
    }
}
