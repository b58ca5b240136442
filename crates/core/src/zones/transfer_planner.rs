//! The leader's decision which share of each zone's requests goes to servers of other zones.

use {
    super::{ServiceCapacity, SpareZone, ZoneLoad, ZoneRole, split_excess},
    crate::{
        dispatch::{AdmittedShare, ServiceDemand, ZoneTransfer},
        ids::{ServiceName, ZoneName},
        time::BootTime,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which requests may go from B to A that went from A to B before: hosts use a decision
/// for 1.5 s, and a digest arrives within 0.1 s.
const REVERSAL_PAUSE: Duration = Duration::from_millis(1_600);

/// Demand below which a zone without servers is forgotten, in requests a second.
const FORGOTTEN_DEMAND: f64 = 0.01;

/// State of one service.
#[derive(Clone, Debug, Default)]
struct ServicePlan {
    zones: BTreeMap<ZoneName, ZoneLoad>,
    /// When requests were last sent from one zone to another.
    sent_at: BTreeMap<(ZoneName, ZoneName), BootTime>,
}

impl ServicePlan {
    fn update(&mut self, capacity: &ServiceCapacity, elapsed: f64) {
        for zone in capacity.zones.keys() {
            self.zones.entry(zone.clone()).or_default();
        }
        for (zone, load) in &mut self.zones {
            let zone_capacity = capacity.zones.get(zone).copied();
            let zone_capacity = zone_capacity.unwrap_or_default();
            load.update(zone_capacity, capacity.target_latency, elapsed);
        }
        self.zones.retain(|zone, load| {
            capacity.zones.contains_key(zone) || load.demand() >= FORGOTTEN_DEMAND
        });
    }

    fn transfers(&mut self, service: &ServiceName, now: BootTime) -> Vec<ZoneTransfer> {
        self.sent_at.retain(|_, at| now.since(*at) < REVERSAL_PAUSE);
        let mut excess = Vec::new();
        let mut spare = Vec::new();
        for (zone, load) in &self.zones {
            match load.role() {
                ZoneRole::Short => excess.push((zone.clone(), load.excess())),
                ZoneRole::Spare => spare.push(SpareZone {
                    zone: zone.clone(),
                    room: load.room(),
                }),
                ZoneRole::Balanced => {}
            }
        }
        let sent_at = &self.sent_at;
        let may_send =
            |from: &ZoneName, to: &ZoneName| !sent_at.contains_key(&(to.clone(), from.clone()));
        let mut transfers = Vec::new();
        for (from, to, rate) in split_excess(&excess, &spare, may_send) {
            let demand = self.zones.get(&from).map_or(0.0, ZoneLoad::demand);
            let share = rate / demand.max(f64::MIN_POSITIVE);
            transfers.push(ZoneTransfer {
                service: service.clone(),
                from,
                to,
                share: AdmittedShare::from_fraction(share),
            });
        }
        for transfer in &transfers {
            let pair = (transfer.from.clone(), transfer.to.clone());
            self.sent_at.insert(pair, now);
        }
        transfers
    }
}

/// Decides for all hosts, from the capacity and the demand of each service and zone.
///
/// A zone sends only what its own servers cannot answer within the target latency, only to zones
/// with room, and never receives at the same time. If no zone has room, nothing is sent, since that would
/// only move the shortage.
#[derive(Clone, Debug)]
pub struct TransferPlanner {
    services: BTreeMap<ServiceName, ServicePlan>,
    updated_at: BootTime,
}

impl TransferPlanner {
    /// Creates the planner of a new leader; hosts may still use the `known` transfers of its predecessor.
    pub fn new(known: &[ZoneTransfer], now: BootTime) -> Self {
        let mut services = BTreeMap::<_, ServicePlan>::new();
        for transfer in known {
            let plan = services.entry(transfer.service.clone()).or_default();
            let pair = (transfer.from.clone(), transfer.to.clone());
            plan.sent_at.insert(pair, now);
        }
        Self {
            services,
            updated_at: now,
        }
    }

    /// Adds what one host of the zone reports.
    pub fn record_demand(&mut self, zone: &ZoneName, demand: &ServiceDemand) {
        let plan = self.services.entry(demand.service.clone()).or_default();
        let load = plan.zones.entry(zone.clone()).or_default();
        load.record_requests(demand.requests);
    }

    /// Updates demand and capacity from the reports since the last call. Services that `capacities` does
    /// not list are forgotten.
    pub fn update(&mut self, capacities: &[ServiceCapacity], now: BootTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.services
            .retain(|service, _| capacities.iter().any(|known| known.service == *service));
        if elapsed <= 0.0 {
            return;
        }
        for capacity in capacities {
            let plan = self.services.entry(capacity.service.clone()).or_default();
            plan.update(capacity, elapsed);
        }
        self.updated_at = now;
    }

    /// Decides which requests leave their zone.
    ///
    /// If nothing is sent, the result has one entry from a zone to itself, by which hosts tell this
    /// decision from the digest of a leader that does not decide.
    pub fn decide(&mut self, now: BootTime) -> Vec<ZoneTransfer> {
        let mut transfers = Vec::new();
        for (service, plan) in &mut self.services {
            transfers.extend(plan.transfers(service, now));
        }
        if transfers.is_empty() {
            transfers.extend(self.nothing_sent());
        }
        transfers
    }

    fn nothing_sent(&self) -> Option<ZoneTransfer> {
        self.services.iter().find_map(|(service, plan)| {
            let zone = plan.zones.keys().next()?;
            Some(ZoneTransfer {
                service: service.clone(),
                from: zone.clone(),
                to: zone.clone(),
                share: AdmittedShare::ALL,
            })
        })
    }

    /// Demand of a zone, and what its servers answer within the target latency, in requests a second.
    pub fn zone_rates(&self, service: &ServiceName, zone: &ZoneName) -> Option<(f64, f64)> {
        let load = self.services.get(service)?.zones.get(zone)?;
        Some((load.demand(), load.usable_rate()))
    }
}
