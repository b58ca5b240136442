//! Load of a simulation of one service in several zones, and what it has shown.

use camphorcove_core::{
    ids::{ServiceName, ZoneName},
    time::BootTime,
};

/// Number of zones.
pub const ZONES: usize = 3;

pub fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

pub fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").parse().expect("valid name")
}

pub fn service_name() -> ServiceName {
    "uploads".parse().expect("valid name")
}

/// How hosts choose servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePlan {
    /// Each host by itself, by the factor for other zones.
    Factor,
    /// By the transfers of the leader.
    Transfers,
}

/// Load of a run.
#[derive(Clone, Copy, Debug)]
pub struct ZonePlan {
    /// Requests a second in each zone, outside and inside of the middle part.
    pub demand: [f64; ZONES],
    pub changed: [f64; ZONES],
    /// Zone whose servers are lost in the middle part.
    pub lost: Option<usize>,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct ZoneOutcome {
    /// Requests, those answered within the target, and those refused, by zone.
    pub requests: [u32; ZONES],
    pub in_time: [u32; ZONES],
    pub refused: [u32; ZONES],
    /// Requests sent to another zone, and the part of them that no transfer named.
    pub crossed: u32,
    pub crossed_by_fallback: u32,
    /// Share that the leader lets leave each zone, by its decisions.
    pub decisions: Vec<(u64, [f64; ZONES])>,
    /// Moments at which hosts applied transfers of a pair of zones in both directions.
    pub both_ways: u32,
    /// Changes of the zones that send.
    pub changes: u32,
}

impl ZoneOutcome {
    /// Share of the requests answered within the target.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time.iter().sum(), self.requests.iter().sum())
    }

    /// The same for one zone.
    pub fn zone_in_time_share(&self, zone: usize) -> f64 {
        share(self.in_time[zone], self.requests[zone])
    }

    /// Share of the requests that crossed zones.
    pub fn crossed_share(&self) -> f64 {
        share(self.crossed, self.requests.iter().sum())
    }

    /// Share of the requests that crossed zones although no transfer named the zone.
    pub fn fallback_share(&self) -> f64 {
        share(self.crossed_by_fallback, self.requests.iter().sum())
    }

    /// Share of the requests that were refused.
    pub fn refused_share(&self) -> f64 {
        share(self.refused.iter().sum(), self.requests.iter().sum())
    }

    /// First decision from `from` on by which a share of at least `least` leaves the zone.
    pub fn first_above(&self, zone: usize, from: u64, least: f64) -> Option<u64> {
        let mut later = self.decisions.iter().filter(|(at, _)| *at >= from);
        later
            .find(|(_, shares)| shares[zone] >= least)
            .map(|(at, _)| *at)
    }

    /// First decision from `from` on by which a share below `most` leaves the zone.
    pub fn first_below(&self, zone: usize, from: u64, most: f64) -> Option<u64> {
        let mut later = self.decisions.iter().filter(|(at, _)| *at >= from);
        later
            .find(|(_, shares)| shares[zone] < most)
            .map(|(at, _)| *at)
    }

    /// Part of the decisions by which something leaves the zone.
    pub fn sending_time(&self, zone: usize) -> f64 {
        let sending = self
            .decisions
            .iter()
            .filter(|(_, shares)| shares[zone] > 0.0);
        sending.count() as f64 / self.decisions.len() as f64
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
