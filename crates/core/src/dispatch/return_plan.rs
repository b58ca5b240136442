//! When the callers of refused requests are told to return.
//!
//! Callers retry once, so one that returns too early and is refused again has lost its request. They
//! return as capacity comes free, the first refused first, and as late as they accept while it is not
//! known when that will be.

use {
    super::GaugeReading,
    crate::{
        ids::{ServerId, ServiceName},
        time::BootTime,
    },
    std::{collections::HashMap, time::Duration},
};

/// Part of its remaining time that a caller waits at most, less a margin for the way of the answer.
const MAX_WAIT_SHARE: f64 = 0.95 / 3.0;

/// Part of the longest wait after which callers return for whom no capacity is free within it. Overload
/// often ends within a second or two; the rest of the wait spreads them.
const LATE_RETURN_SHARE: f64 = 0.6;

/// Share of the capacity that is planned for callers who return. New requests take the rest.
const RETURN_CAPACITY_SHARE: f64 = 0.3;

/// Time that the leader takes to notice a hot key and to give it an owner of its own.
const REBALANCE_TIME: Duration = Duration::from_millis(1_000);

/// Shortest wait: callers who return at once meet the load that got them refused.
const MIN_WAIT: Duration = Duration::from_millis(150);

/// Targets with planned returns that are kept before those in the past are dropped.
const MAX_KEPT: usize = 1_024;

/// Longest time after which a caller with this time left returns.
pub fn longest_return(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_WAIT_SHARE)
}

/// What refused requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReturnTarget {
    /// The owner of their key.
    Owner(ServerId),
    /// Any server of the service.
    Service(ServiceName),
}

/// Why a request was refused, as far as it matters for the time of its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// The servers have too many requests.
    Overloaded,
    /// Its key has more requests than its owner can take.
    HotKey,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnQuery {
    /// Why it was refused.
    pub reason: ReturnReason,
    /// Reading of the server that is expected to answer first.
    pub reading: GaugeReading,
    /// Requests a second that the target answers for all hosts together.
    pub capacity: f64,
    /// Hosts that refuse requests for the target.
    pub hosts: u32,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
}

/// Returns that this host has planned.
#[derive(Clone, Debug, Default)]
pub struct ReturnPlan {
    /// Time at which the next caller may return, by target.
    next: HashMap<ReturnTarget, BootTime>,
}

impl ReturnPlan {
    /// Time after which the caller of a refused request is to return. `spread`, a random number in 0..1,
    /// keeps the callers of different hosts from returning together.
    pub fn plan(
        &mut self,
        target: ReturnTarget,
        query: ReturnQuery,
        spread: f64,
        now: BootTime,
    ) -> Duration {
        let longest = longest_return(query.time_left);
        let shortest = query.shortest_wait().min(longest);
        let next = self.next.get(&target).copied().unwrap_or_default();
        let start = next.max(now + shortest);
        let wait = start.since(now) + query.interval().mul_f64(spread);
        if wait <= longest {
            if self.next.len() >= MAX_KEPT {
                self.next.retain(|_, next| *next > now);
            }
            self.next.insert(target, start + query.interval());
            return wait;
        }
        let late = longest.mul_f64(LATE_RETURN_SHARE).max(shortest);
        late + (longest - late).mul_f64(spread)
    }
}

impl ReturnQuery {
    /// Time until the requests that are at the server have been answered, or the key has moved.
    fn shortest_wait(self) -> Duration {
        let queueing = (self.reading.expected - self.reading.service_time).max(0.0);
        let queueing = Duration::try_from_secs_f64(queueing).unwrap_or(Duration::MAX);
        let shortest = queueing.max(MIN_WAIT);
        match self.reason {
            ReturnReason::Overloaded => shortest,
            ReturnReason::HotKey => shortest.max(REBALANCE_TIME),
        }
    }

    /// Time between two returns that this host plans.
    fn interval(self) -> Duration {
        let own_capacity = self.capacity * RETURN_CAPACITY_SHARE / f64::from(self.hosts.max(1));
        let longest = self.time_left;
        match own_capacity > 0.0 {
            true => Duration::try_from_secs_f64(1.0 / own_capacity)
                .unwrap_or(longest)
                .min(longest),
            false => longest,
        }
    }
}
