//! The leader's decision which requests leave their availability zone.

use {
    super::{host_table::HostTable, leader_actor::LeaderActor, limit_table::LimitTable},
    crate::{
        peers::Report,
        state::{HostState, LogTopic, ServerHash},
    },
    camphorcove_core::{
        dispatch::ZoneTransfer,
        ids::{ServiceName, ZoneName},
        time::BootTime,
        zones::{AnswerWatch, ServiceCapacity, TransferPlanner, WatchedServer},
    },
    std::collections::{BTreeMap, HashMap},
};

/// Service time of servers before the first answer of any server of their service, in seconds; as in
/// the gauges of hosts.
const ASSUMED_SERVICE_TIME: f64 = 0.15;

/// Change of a share that is logged. Shares follow the demand, which varies by about a tenth.
const LOGGED_CHANGE: f64 = 0.2;

type ZonePair = (ServiceName, ZoneName, ZoneName);

/// What the leader knows of demand and servers by zone, and what it has decided.
#[derive(Debug)]
pub struct ZonePlanning {
    planner: TransferPlanner,
    answers: AnswerWatch<ServerHash>,
    /// Shares that were last logged.
    logged: BTreeMap<ZonePair, f64>,
}

impl ZonePlanning {
    /// Starts with what the hosts may still apply of a predecessor's decision.
    pub fn new(known: &[ZoneTransfer], now: BootTime) -> Self {
        Self {
            planner: TransferPlanner::new(known, now),
            answers: AnswerWatch::default(),
            logged: BTreeMap::new(),
        }
    }

    /// Records the report of a host. One of an earlier build names no zone and no demand.
    pub fn record_report(&mut self, report: &Report, now: BootTime) {
        for load in &report.load.servers {
            self.answers
                .record_load(load.server, load.in_flight, load.successes, now);
        }
        let addition = &report.addition.0;
        let Some(zone) = &addition.zone else {
            return;
        };
        for demand in &addition.demand {
            self.planner.record_demand(zone, demand);
        }
    }

    /// Capacity of all services without keys.
    fn capacities(
        &mut self,
        state: &HostState,
        hosts: &HostTable,
        limits: &LimitTable,
        now: BootTime,
    ) -> Vec<ServiceCapacity> {
        let Some(table) = state.table() else {
            return Vec::new();
        };
        let mut capacities = BTreeMap::new();
        for rule in table.services.values().filter(|rule| !rule.keyed) {
            let Some(target_latency) = table.target_latency(&rule.name) else {
                continue;
            };
            let capacity = ServiceCapacity {
                service: rule.name.clone(),
                target_latency,
                zones: BTreeMap::new(),
            };
            capacities.insert(rule.name.clone(), capacity);
        }
        let servers = state.usable_servers();
        let hashes: HashMap<ServerHash, usize> = servers
            .iter()
            .enumerate()
            .map(|(at, server)| (ServerHash::of(&server.id), at))
            .collect();
        self.answers.retain(|server| hashes.contains_key(server));
        let mut measured = HashMap::<&ServiceName, (f64, f64)>::new();
        for (hash, at) in &hashes {
            if let Some(mean) = hosts.mean_latency(*hash) {
                let sum = measured.entry(&servers[*at].service).or_default();
                *sum = (sum.0 + mean, sum.1 + 1.0);
            }
        }
        for (hash, at) in &hashes {
            let server = &servers[*at];
            let Some(capacity) = capacities.get_mut(&server.service) else {
                continue;
            };
            let usual = measured.get(&server.service);
            let usual = usual.map_or(ASSUMED_SERVICE_TIME, |(sum, count)| sum / count);
            let service_time = hosts.mean_latency(*hash).unwrap_or(usual);
            let zone = capacity.zones.entry(server.zone.clone()).or_default();
            let watched = WatchedServer {
                incarnation: server.incarnation,
                zone: &server.zone,
                service_time,
            };
            if self.answers.is_silent(hash, watched, now) {
                continue;
            }
            let limit = limits.limit(*hash).map(|limit| limit.per_second());
            zone.add_server(server.slots, service_time, limit);
        }
        capacities.into_values().collect()
    }

    /// Logs which shares have changed noticeably.
    fn log_changes(&mut self, state: &HostState, transfers: &[ZoneTransfer]) {
        let between_zones = transfers
            .iter()
            .filter(|transfer| transfer.from != transfer.to);
        let shares: BTreeMap<ZonePair, f64> = between_zones
            .map(|transfer| {
                let ZoneTransfer {
                    service,
                    from,
                    to,
                    share,
                } = transfer.clone();
                ((service, from, to), share.fraction())
            })
            .collect();
        let mut changed = Vec::new();
        for (pair, share) in &shares {
            let logged = self.logged.get(pair);
            if logged.is_none_or(|logged| (logged - share).abs() >= LOGGED_CHANGE) {
                changed.push((pair.clone(), *share));
            }
        }
        for pair in self.logged.keys() {
            if !shares.contains_key(pair) {
                changed.push((pair.clone(), 0.0));
            }
        }
        for ((service, from, to), share) in changed {
            let rates = self.planner.zone_rates(&service, &from);
            let (demand, usable) = rates.unwrap_or_default();
            if let Some(left_out) = state.may_log(LogTopic::Zone) {
                log::info!(
                    service = service.as_str(), from = from.as_str(), to = to.as_str(), share,
                    demand:% = demand.round(), usable:% = usable.round(), left_out;
                    "share of requests that leaves the zone has changed"
                );
            }
            match share > 0.0 {
                true => self.logged.insert((service, from, to), share),
                false => self.logged.remove(&(service, from, to)),
            };
        }
    }
}

impl LeaderActor {
    /// Decides which requests leave their zone, and adopts the decision on this host. Returns no entries
    /// if the settings do not enable it, or until all hosts have reported to this leader.
    pub(super) fn plan_transfers(&mut self, now: BootTime) -> Vec<ZoneTransfer> {
        if !self.state.settings.zone_transfer {
            return Vec::new();
        }
        let planning = &mut self.zone_planning;
        let capacities = planning.capacities(&self.state, &self.hosts, &self.limits, now);
        planning.planner.update(&capacities, now);
        if self.complete_host_count(now).is_none() {
            return Vec::new();
        }
        let planning = &mut self.zone_planning;
        let transfers = planning.planner.decide(now);
        planning.log_changes(&self.state, &transfers);
        self.state.set_transfers(transfers.clone());
        transfers
    }
}
