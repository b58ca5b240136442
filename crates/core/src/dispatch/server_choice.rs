//! Choice of a server for a service without keys.
//!
//! Servers differ in speed and load, so a request goes to the server that is expected to
//! answer first, with a preference for the host's own availability zone.

use {
    super::GaugeReading,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Reading of its gauge.
    pub reading: GaugeReading,
    /// Whether the server is in this host's availability zone.
    pub local: bool,
    /// Whether this request was already sent to the server.
    pub tried: bool,
    /// Whether admission control lets the server take one more request.
    pub admitted: bool,
}

/// Factor on the score of servers in other zones. Traffic between zones is billed, so a
/// local server is preferred as long as callers do not notice.
const REMOTE_ZONE_FACTOR: f64 = 2.5;

/// Share of the route's target latency up to which callers do not notice a slower answer.
const UNNOTICED_SHARE: f64 = 0.4;

/// Weight of the expected time in the score in addition to its part above that share; it
/// decides between servers whose expected times are all below it.
const EXPECTED_TIME_WEIGHT: f64 = 0.3;

/// Random part of the expected time: keeps hosts from all choosing the same server at once.
const SCORE_JITTER: f64 = 0.15;

/// Failure share above which the score does not rise further.
const MAX_FAILURE_SHARE: f64 = 0.9;

/// Penalties in seconds, larger than any expected time. They rank servers that were already
/// tried below all others, overloaded servers below those, and unresponsive servers last.
const AVOIDED_PENALTY: f64 = 1e6;
const NOT_ADMITTED_PENALTY: f64 = 1e5;
const TRIED_PENALTY: f64 = 1e4;

/// Returns the index of the best candidate; `None` if there are no candidates.
///
/// `target` is the target latency of the route.
pub fn choose_server<R: Rng>(
    candidates: &[Candidate],
    target: Duration,
    random: &mut R,
) -> Option<usize> {
    let unnoticed = target.as_secs_f64() * UNNOTICED_SHARE;
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let reading = candidate.reading;
        let present = reading.expected * reading.work_factor;
        let expected = present * (1.0 + random.random::<f64>() * SCORE_JITTER);
        let mut score = expected.max(unnoticed) + expected * EXPECTED_TIME_WEIGHT;
        if !candidate.local {
            score *= REMOTE_ZONE_FACTOR;
        }
        score /= 1.0 - reading.failure_share.min(MAX_FAILURE_SHARE);
        if reading.avoided {
            score += AVOIDED_PENALTY;
        }
        if !candidate.admitted {
            score += NOT_ADMITTED_PENALTY;
        }
        if candidate.tried {
            score += TRIED_PENALTY;
        }
        if best.is_none_or(|(_, lowest)| score < lowest) {
            best = Some((at, score));
        }
    }
    best.map(|(at, _)| at)
}
