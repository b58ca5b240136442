//! Capacity of a service's servers by availability zone.

use {
    crate::ids::{ServiceName, ZoneName},
    std::{collections::BTreeMap, time::Duration},
};

/// Usable servers of one zone, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    servers: u32,
    slots: u32,
    /// Requests a second at which all slots are busy, limits of servers included.
    rate: f64,
    /// The same without limits of servers.
    unlimited_rate: f64,
}

/// Usable servers of a service without keys.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Service.
    pub service: ServiceName,
    /// Shortest target latency of its routes, since their requests share its servers.
    pub target_latency: Duration,
    /// Capacity of each zone that has servers.
    pub zones: BTreeMap<ZoneName, ZoneCapacity>,
}

impl ZoneCapacity {
    /// Adds a server; `service_time` is the mean time that a request runs there, in seconds, and
    /// `limit` the requests a second that the server takes from all hosts, if it limits them.
    pub fn add_server(&mut self, slots: u32, service_time: f64, limit: Option<f64>) {
        let rate = f64::from(slots) / service_time.max(0.001);
        self.servers += 1;
        self.slots += slots;
        self.unlimited_rate += rate;
        self.rate += limit.map_or(rate, |limit| rate.min(limit));
    }

    /// Number of requests that run at once.
    pub fn slots(self) -> u32 {
        self.slots
    }

    /// Mean number of slots of a server.
    pub fn slots_per_server(self) -> f64 {
        f64::from(self.slots) / f64::from(self.servers.max(1))
    }

    /// Requests a second for each slot; zero without slots.
    pub fn rate_per_slot(self) -> f64 {
        self.rate / f64::from(self.slots.max(1))
    }

    /// Mean time that a request runs; zero without slots.
    pub fn service_time(self) -> Duration {
        match self.unlimited_rate > 0.0 {
            true => Duration::from_secs_f64(f64::from(self.slots) / self.unlimited_rate),
            false => Duration::ZERO,
        }
    }
}
