//! Admission control: decides whether a server may get one more request.
//!
//! Under overload, a request that would be answered too late only delays those waiting
//! behind it, and a server whose queue is full may never answer. Such a request is
//! refused at once with a retry-after time.

use {
    super::{GaugeReading, RankLimit},
    std::time::Duration,
};

/// Requests at one server, as a multiple of its slots, from which its queue may be full.
const BACKLOG_FACTOR: u32 = 4;

/// Expected time to answer, as a multiple of the route's target latency, above which a
/// request is refused.
const TARGET_LATENCY_FACTOR: f64 = 0.95;

/// Factor on the limit of requests for a key that has more of them than its owner can take. The rest
/// of the queue is kept for the other keys of the owner, as its capacity is only estimated. With 0.4,
/// the hot key gets less than 0.4 of its owner beside other keys that ask for 0.4.
const HOT_KEY_FACTOR: f64 = 0.5;

/// Share of the remaining time that the expected time to answer may use; service times vary.
const REMAINING_TIME_SHARE: f64 = 0.8;

/// Bounds of the retry-after time before it is spread, in seconds.
const RETRY_AFTER_BOUNDS: (f64, f64) = (0.15, 2.0);

/// Time limits of one request, from which its admission is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Limit by rank; `None` for the most urgent routes of a service.
    pub rank_limit: Option<RankLimit>,
    /// Whether the key of the request has more requests than its owner can take.
    pub is_hot_key: bool,
}

/// Result of the admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request may be sent to the server.
    Send,
    /// The server has too many requests, or would probably answer too late.
    Overloaded,
    /// The remaining time is shorter than the service time.
    TooLate,
}

impl AdmissionRule {
    /// Decides whether the server with this reading may get the request.
    pub fn decide(self, reading: GaugeReading) -> Admission {
        let left = self.time_left.as_secs_f64();
        if reading.service_time > left && reading.expected > left {
            return Admission::TooLate;
        }
        let backlog_limit = reading.slots * BACKLOG_FACTOR;
        let latency_limit = self.latency_limit();
        let must_queue = reading.backlog >= reading.slots;
        if reading.backlog >= backlog_limit || (must_queue && reading.expected > latency_limit) {
            return Admission::Overloaded;
        }
        Admission::Send
    }

    /// The rule for the requests of a less urgent rank that are guaranteed: the limit of the most
    /// urgent rank applies to them.
    pub fn guaranteed(self) -> Self {
        let rank_limit = self.rank_limit.map(|rank_limit| RankLimit {
            limit: rank_limit.most_urgent,
            ..rank_limit
        });
        let target_latency = match rank_limit {
            // The target may be shorter than that of the most urgent rank; requests that are
            // answered after it are still better than none.
            Some(limit) => self
                .target_latency
                .max(Duration::from_secs_f64(limit.limit / TARGET_LATENCY_FACTOR)),
            None => self.target_latency,
        };
        Self {
            target_latency,
            rank_limit,
            ..self
        }
    }

    /// Longest expected time with which a request may queue, in seconds.
    pub fn latency_limit(self) -> f64 {
        let own_limit = own_latency_limit(self.target_latency, self.time_left);
        let limit = match self.rank_limit {
            Some(rank_limit) => own_limit.min(rank_limit.limit),
            None => own_limit,
        };
        match self.is_hot_key {
            true => limit * HOT_KEY_FACTOR,
            false => limit,
        }
    }
}

/// Longest expected time with which a request may queue if there are no other ranks, in seconds.
pub(super) fn own_latency_limit(target_latency: Duration, time_left: Duration) -> f64 {
    let by_target = target_latency.as_secs_f64() * TARGET_LATENCY_FACTOR;
    by_target.min(time_left.as_secs_f64() * REMAINING_TIME_SHARE)
}

/// Time after which the caller of a refused request should retry.
///
/// Estimates when the backlog will have fallen to the number of slots. `spread`, a random
/// number in 0..1, keeps callers from all retrying at the same time.
pub fn retry_after(reading: Option<GaugeReading>, spread: f64) -> Duration {
    let wait = reading.map_or(0.4, |reading| {
        (reading.expected - reading.service_time).max(0.0) * 0.5
    });
    bounded_retry_after(wait, spread)
}

/// Retry-after time of about `wait` seconds within the bounds.
pub(super) fn bounded_retry_after(wait: f64, spread: f64) -> Duration {
    let (shortest, longest) = RETRY_AFTER_BOUNDS;
    let wait = wait.clamp(shortest, longest) * (0.75 + 0.75 * spread);
    Duration::from_secs_f64(wait)
}
