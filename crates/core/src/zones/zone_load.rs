//! Demand and capacity of one zone for one service, and whether it sends or receives requests.

use {
    super::{ZoneCapacity, ZoneDemand, utilization_limit},
    std::time::Duration,
};

/// Part of the utilization limit at which a short zone keeps its requests again, and up to which a zone
/// takes requests of others. The distance to the limit is the error of the demand.
const KEEP_SHARE: f64 = 0.9;

/// Part of the utilization limit below which a zone begins to take requests of others, and
/// takes them until it reaches `KEEP_SHARE`.
const SPARE_SHARE: f64 = 0.8;

/// Time for which the demand has to stay below `SPARE_SHARE`, so that a zone near it does not begin
/// and end with each report. Zones with room are usually known before another becomes short.
const SPARE_DELAY: Duration = Duration::from_millis(1_500);

/// Time constant of the rate of a slot. Machines are slow for about 0.4 s at a time, which is no reason
/// to move requests; lost servers count at once.
const SLOT_RATE_TIME: Duration = Duration::from_secs(3);

/// Largest share of a zone's requests that leaves. The rest shows when servers answer again that had
/// been silent.
const MAX_SENT_SHARE: f64 = 0.95;

/// What a zone does with requests for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ZoneRole {
    /// Keeps its own requests and takes no others.
    #[default]
    Balanced,
    /// Sends what its servers cannot serve within the target latency.
    Short,
    /// May take requests of other zones.
    Spare,
}

/// State of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneLoad {
    /// Requests in the reports since the last update.
    reported: u32,
    /// `None` before the first update.
    demand: Option<ZoneDemand>,
    /// Smoothed requests a second of a slot; `None` while the zone has no slots.
    slot_rate: Option<f64>,
    /// Requests a second that the servers answer within the target latency.
    usable_rate: f64,
    /// Seconds for which the demand has been below `SPARE_SHARE`.
    spare_time: f64,
    role: ZoneRole,
}

impl ZoneLoad {
    /// Adds the requests of one host.
    pub fn record_requests(&mut self, requests: u32) {
        self.reported = self.reported.saturating_add(requests);
    }

    /// Updates demand, capacity and role; `elapsed` is the time since the last update, in seconds.
    pub fn update(&mut self, capacity: ZoneCapacity, target_latency: Duration, elapsed: f64) {
        let rate = f64::from(std::mem::take(&mut self.reported)) / elapsed;
        let is_first = self.demand.is_none();
        match &mut self.demand {
            Some(demand) => demand.update(rate, elapsed),
            None => self.demand = Some(ZoneDemand::new(rate)),
        }
        let slot_rate = capacity.rate_per_slot();
        self.slot_rate = (capacity.slots() > 0).then(|| {
            let weight = 1.0 - (-elapsed / SLOT_RATE_TIME.as_secs_f64()).exp();
            let old = self.slot_rate.unwrap_or(slot_rate);
            old + (slot_rate - old) * weight
        });
        let limit = utilization_limit(
            capacity.slots_per_server(),
            capacity.service_time(),
            target_latency,
        );
        let rate = f64::from(capacity.slots()) * self.slot_rate.unwrap_or_default();
        self.usable_rate = rate * limit;
        self.spare_time = match self.demand() < self.usable_rate * SPARE_SHARE {
            true if is_first => SPARE_DELAY.as_secs_f64(),
            true => self.spare_time + elapsed,
            false => 0.0,
        };
        self.role = self.next_role();
    }

    fn next_role(&self) -> ZoneRole {
        let demand = self.demand();
        let keeps_up = demand <= self.usable_rate * KEEP_SHARE;
        match self.role {
            _ if demand > self.usable_rate => ZoneRole::Short,
            ZoneRole::Short if !keeps_up => ZoneRole::Short,
            ZoneRole::Spare if keeps_up => ZoneRole::Spare,
            _ if self.spare_time >= SPARE_DELAY.as_secs_f64() => ZoneRole::Spare,
            _ => ZoneRole::Balanced,
        }
    }

    /// Smoothed requests a second that arrive in the zone.
    pub fn demand(&self) -> f64 {
        self.demand.map_or(0.0, ZoneDemand::rate)
    }

    /// Requests a second that the zone's servers answer within the target latency.
    pub fn usable_rate(&self) -> f64 {
        self.usable_rate
    }

    /// What the zone does.
    pub fn role(&self) -> ZoneRole {
        self.role
    }

    /// Requests a second that a short zone has too many.
    pub fn excess(&self) -> f64 {
        let demand = self.demand();
        match self.role {
            ZoneRole::Short => {
                (demand - self.usable_rate * KEEP_SHARE).clamp(0.0, demand * MAX_SENT_SHARE)
            }
            ZoneRole::Balanced | ZoneRole::Spare => 0.0,
        }
    }

    /// Requests a second that the zone can take from others.
    pub fn room(&self) -> f64 {
        match self.role {
            ZoneRole::Spare => (self.usable_rate * KEEP_SHARE - self.demand()).max(0.0),
            ZoneRole::Balanced | ZoneRole::Short => 0.0,
        }
    }
}
