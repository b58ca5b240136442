//! Limits on the expected time by rank, for services whose routes have different ranks.
//!
//! Without them, each route queues up to a share of its own target latency. The route with the
//! longest target then fills the servers' queues, and those with shorter targets are refused,
//! however urgent they are. Hosts need not know each other's requests for these limits: the
//! load of a server decides, and a less urgent request stops queueing at a shorter queue.

use {
    super::{Admission, AdmissionRule, GaugeReading, admission::own_latency_limit},
    crate::routing::{RouteRank, RouteRule},
};

/// Limit of a rank as a share of the lowest limit among the more urgent ranks. Three ranks then differ by
/// one request in the queue of a server with two slots, and the least urgent one still queues.
const RANK_FACTOR: f64 = 0.75;

/// Share of the requests of a less urgent rank that are decided by the limit of the most urgent one.
/// A rank is thereby served at least this often compared with the most urgent rank, and
/// therefore with the mean; a quarter is required, the rest is a margin.
const GUARANTEED_SHARE: f64 = 0.3;

/// Most guaranteed requests that a rank can save up. More would let a burst of a less urgent rank
/// take the place of urgent requests.
const MAX_CREDIT: f64 = 2.0;

/// Limits on the expected time at a server for one less urgent route of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankLimit {
    /// Rank of the route.
    pub rank: RouteRank,
    /// Limit of its requests, in seconds.
    pub limit: f64,
    /// Limit of the most urgent rank, in seconds.
    pub most_urgent: f64,
}

/// Limits by rank of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RankLimits {
    /// Ranks with the lowest limit among the routes of each, the most urgent one first.
    ceilings: Vec<(RouteRank, f64)>,
}

/// Guarantees a share of the requests of one less urgent rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankGate {
    /// Requests that may be decided by the limit of the most urgent rank.
    credit: f64,
}

impl RankLimits {
    /// Limits of a service with these routes; `None` if all of them have the same rank.
    pub fn of_routes<'r>(routes: impl IntoIterator<Item = &'r RouteRule>) -> Option<Self> {
        let mut own_limits: Vec<(RouteRank, f64)> = Vec::new();
        for route in routes {
            let limit = own_latency_limit(route.target_latency, route.time_limit);
            own_limits.push((route.rank, limit));
        }
        own_limits.sort_by(|first, second| {
            let by_rank = first.0.cmp(&second.0);
            by_rank.then(first.1.total_cmp(&second.1))
        });
        own_limits.dedup_by_key(|(rank, _)| *rank);
        if own_limits.len() < 2 {
            return None;
        }
        let mut lowest = f64::INFINITY;
        for (_, limit) in &mut own_limits {
            *limit = limit.min(lowest * RANK_FACTOR);
            lowest = *limit;
        }
        Some(Self {
            ceilings: own_limits,
        })
    }

    /// Limit of a route of the service; `None` if no route is more urgent.
    pub fn limit(&self, route: &RouteRule) -> Option<RankLimit> {
        let at = self
            .ceilings
            .iter()
            .position(|(rank, _)| *rank == route.rank)?;
        let (_, more_urgent) = self.ceilings.get(at.checked_sub(1)?)?;
        let own_limit = own_latency_limit(route.target_latency, route.time_limit);
        Some(RankLimit {
            rank: route.rank,
            limit: own_limit.min(more_urgent * RANK_FACTOR),
            most_urgent: self.ceilings[0].1,
        })
    }
}

impl RankGate {
    /// Decides on a request of a less urgent rank.
    pub fn decide(&mut self, rule: AdmissionRule, reading: GaugeReading) -> Admission {
        self.credit = (self.credit + GUARANTEED_SHARE).min(MAX_CREDIT);
        let admission = rule.decide(reading);
        match admission {
            Admission::Send => self.credit = (self.credit - 1.0).max(0.0),
            Admission::Overloaded if self.credit >= 1.0 => {
                self.credit -= 1.0;
                return rule.guaranteed().decide(reading);
            }
            Admission::Overloaded | Admission::TooLate => {}
        }
        admission
    }
}
