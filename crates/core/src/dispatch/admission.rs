//! Whether a server may get one more request.
//!
//! Answers overload: a request that would be answered too late only delays those
//! behind it, and a server whose queue is full may never answer. Such a request is
//! refused at once with a time to come back.

use {super::GaugeReading, std::time::Duration};

/// Requests at one server, as a multiple of its slots, above which it may be full.
const BACKLOG_FACTOR: u32 = 4;

/// Expected answer time, as a multiple of the route's target, above which a request
/// is refused.
const LATE_FACTOR: f64 = 0.95;

/// Part of the remaining time that the expected answer may take: work times vary.
const TIME_SHARE: f64 = 0.8;

/// Bounds of the retry-after time of a refused request, in seconds.
const RETRY_AFTER_BOUNDS: (f64, f64) = (0.15, 2.0);

/// Bounds of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// Latency objective of the route.
    pub target_latency: Duration,
    /// Time left for the request.
    pub time_left: Duration,
}

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request is sent.
    Send,
    /// The server has too much to do.
    Overloaded,
    /// The time left does not suffice.
    TooLate,
}

impl AdmissionRule {
    /// Decides for the server with this reading.
    pub fn decide(self, reading: GaugeReading) -> Admission {
        let left = self.time_left.as_secs_f64();
        if reading.service_time > left && reading.expected > left {
            return Admission::TooLate;
        }
        let backlog_limit = reading.slots * BACKLOG_FACTOR;
        let late = (self.target_latency.as_secs_f64() * LATE_FACTOR).min(left * TIME_SHARE);
        let queued = reading.backlog >= reading.slots;
        if reading.backlog >= backlog_limit || (queued && reading.expected > late) {
            return Admission::Overloaded;
        }
        Admission::Send
    }
}

/// Time after which the caller of a refused request should retry: when the backlog has fallen to
/// the slots, spread by `spread` in 0..1 so that callers do not return together.
pub fn retry_after(reading: Option<GaugeReading>, spread: f64) -> Duration {
    let wait = reading.map_or(0.4, |reading| {
        (reading.expected - reading.service_time).max(0.0) * 0.5
    });
    let (least, most) = RETRY_AFTER_BOUNDS;
    let wait = wait.clamp(least, most) * (0.75 + 0.75 * spread);
    Duration::from_secs_f64(wait)
}
