//! Requests by availability zone at this host, and the leader's decision which of them leave.

use {
    super::{HostState, LogTopic, host_state::StateInner},
    crate::conf::GatewaySettings,
    camphorcove_core::{
        dispatch::{Candidate, ServerGauge, ServiceDemand, ZoneTransfer, choose_server},
        fleet::{ServerEntry, ServerPhase},
        ids::{ServerId, ServiceName, ZoneName},
        time::BootTime,
        zones::{RequestZone, TransferTable, choose_zone_server},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Why a request went to the zone of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendCause {
    /// The leader's decision named the zone.
    Decision,
    /// No server of the zone that the decision named could take it.
    Fallback,
    /// There was no recent decision.
    Undecided,
}

/// Requests that this host has sent to servers without keys of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSends {
    /// Service.
    pub service: ServiceName,
    /// Zone of the servers.
    pub to: ZoneName,
    /// Why they went there.
    pub cause: SendCause,
    /// Number of requests since the process started.
    pub requests: u64,
}

/// Usable server of a service without keys.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCapacity {
    /// Server.
    pub id: ServerId,
    /// Start of the server.
    pub incarnation: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that run at once.
    pub slots: u32,
}

/// Requests by zone at this host; does nothing unless the settings enable it.
#[derive(Debug)]
pub(super) struct ZoneTraffic {
    enabled: bool,
    table: TransferTable,
    /// Requests by service since the last report.
    demand: BTreeMap<ServiceName, u32>,
    /// Requests sent, by service, zone and cause.
    sent: BTreeMap<(ServiceName, ZoneName, SendCause), u64>,
    /// Whether the last request found a recent decision.
    was_decided: bool,
}

impl ZoneTraffic {
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            enabled: settings.zone_transfer,
            table: TransferTable::new(settings.zone.clone()),
            demand: BTreeMap::new(),
            sent: BTreeMap::new(),
            was_decided: false,
        }
    }

    /// Counts a request for a service, even if it is not served.
    pub fn count_request(&mut self, service: &ServiceName) {
        if self.enabled {
            *self.demand.entry(service.clone()).or_default() += 1;
        }
    }

    /// Counts a request that is sent to a server.
    pub fn count_sent(&mut self, entry: &ServerEntry, cause: SendCause) {
        if self.enabled {
            let key = (entry.service.clone(), entry.zone.clone(), cause);
            *self.sent.entry(key).or_default() += 1;
        }
    }
}

impl StateInner {
    /// Zone whose servers the next request is to go to; `None` without a recent decision.
    pub(super) fn next_zone(
        &mut self,
        service: &ServiceName,
        own: &ZoneName,
        now: BootTime,
    ) -> Option<ZoneName> {
        let traffic = &mut self.zone_traffic;
        if !traffic.enabled {
            return None;
        }
        let zone = match traffic.table.next_zone(service, now) {
            RequestZone::Undecided => None,
            RequestZone::Own => Some(own.clone()),
            RequestZone::Other(zone) => Some(zone),
        };
        let was_decided = std::mem::replace(&mut traffic.was_decided, zone.is_some());
        if was_decided != zone.is_some()
            && let Some(left_out) = self.log_rate_limiter.allow(LogTopic::Zone, now)
        {
            match was_decided {
                true => {
                    log::warn!(left_out; "no recent decision on zones, choosing among servers of all zones");
                }
                false => log::info!(left_out; "choosing servers by the leader's decision on zones"),
            }
        }
        zone
    }

    /// Index of the best server: of the `wanted` zone if one there can take the request, otherwise of all.
    pub(super) fn choose_offer(
        &mut self,
        entries: &[&ServerEntry],
        candidates: &[Candidate],
        wanted: Option<&ZoneName>,
        target: Duration,
    ) -> Option<(usize, SendCause)> {
        let Some(wanted) = wanted else {
            let at = choose_server(candidates, target, &mut self.random)?;
            return Some((at, SendCause::Undecided));
        };
        let is_wanted = |at: usize| entries[at].zone == *wanted;
        if let Some(at) = choose_zone_server(candidates, is_wanted, target, &mut self.random) {
            return Some((at, SendCause::Decision));
        }
        let at = choose_server(candidates, target, &mut self.random)?;
        Some((at, SendCause::Fallback))
    }
}

impl HostState {
    /// Returns the requests by service without keys since the last call, for the report to the leader.
    pub fn take_demand(&self) -> Vec<ServiceDemand> {
        let table = self.table();
        let mut inner = self.lock();
        let demand = std::mem::take(&mut inner.zone_traffic.demand);
        let Some(table) = table else {
            return Vec::new();
        };
        let is_plain = |service: &ServiceName| {
            let rule = table.services.get(service);
            rule.is_some_and(|rule| !rule.keyed)
        };
        let plain = demand.into_iter().filter(|(service, _)| is_plain(service));
        plain
            .map(|(service, requests)| ServiceDemand { service, requests })
            .collect()
    }

    /// Adopts the transfers of a digest.
    pub fn set_transfers(&self, transfers: Vec<ZoneTransfer>) {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.zone_traffic.enabled {
            return;
        }
        let phase = rand::RngExt::random(&mut inner.random);
        inner
            .zone_traffic
            .table
            .set_transfers(transfers, phase, now);
    }

    /// Transfers between zones that this host applies, those of other zones included.
    pub fn transfers(&self) -> Vec<ZoneTransfer> {
        let now = self.now();
        let inner = self.lock();
        inner.zone_traffic.table.transfers(now).cloned().collect()
    }

    /// Requests that this host has sent, by service, zone and cause.
    pub fn zone_sends(&self) -> Vec<ZoneSends> {
        let inner = self.lock();
        let sends = inner.zone_traffic.sent.iter();
        sends
            .map(|((service, to, cause), requests)| ZoneSends {
                service: service.clone(),
                to: to.clone(),
                cause: *cause,
                requests: *requests,
            })
            .collect()
    }

    /// Servers of services without keys whose capacity counts: ready ones that are not cold, in no
    /// evacuated zone.
    pub fn usable_servers(&self) -> Vec<ServerCapacity> {
        let now = self.now();
        let inner = self.lock();
        let Some(table) = &inner.table else {
            return Vec::new();
        };
        let plain: HashMap<&ServiceName, _> = table
            .services
            .iter()
            .filter(|(_, rule)| !rule.keyed)
            .collect();
        let mut usable = Vec::new();
        for entry in inner.fleet.entries() {
            if entry.phase != ServerPhase::Ready || !plain.contains_key(&entry.service) {
                continue;
            }
            if inner.evacuations.is_evacuated(&entry.zone) {
                continue;
            }
            let gauge = inner.gauges.get(&entry.id);
            let is_cold =
                |gauge: &ServerGauge| gauge.warmup_gate().is_some() || gauge.is_warming_up(now);
            if gauge.is_none_or(is_cold) {
                continue;
            }
            usable.push(ServerCapacity {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                service: entry.service.clone(),
                zone: entry.zone.clone(),
                slots: entry.slots,
            });
        }
        usable
    }
}
