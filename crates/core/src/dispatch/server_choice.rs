//! Choice among the servers of a service without keys.
//!
//! Answers uneven speeds and uneven load: the server that is expected to answer
//! first gets the request.

use {
    super::GaugeReading,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// One server that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Reading of its gauge.
    pub reading: GaugeReading,
    /// It is in this host's availability zone.
    pub local: bool,
    /// It was tried for this request already.
    pub tried: bool,
    /// It may get one more request.
    pub admitted: bool,
}

/// Factor on the expected time of servers in other zones. Bytes between zones are
/// paid for, so a local server is used while callers do not notice.
const REMOTE_FACTOR: f64 = 2.5;

/// Share of the route's target up to which callers do not notice a slower answer.
const UNNOTICED_SHARE: f64 = 0.4;

/// Weight of the expected time below that share.
const UNNOTICED_WEIGHT: f64 = 0.3;

/// Random part of the score: keeps hosts from choosing the same server at once.
const SPREAD: f64 = 0.15;

/// Failure shares above this do not raise the score further.
const FAILURE_LIMIT: f64 = 0.9;

/// Penalties in seconds, above any expected time: a server that does not react comes
/// last, then one that has too much to do, then one that was tried.
const AVOIDED_PENALTY: f64 = 1e6;
const REFUSED_PENALTY: f64 = 1e5;
const TRIED_PENALTY: f64 = 1e4;

/// Position of the best candidate.
///
/// `target` is the time within which an answer has its full worth.
pub fn choose_server<R: Rng>(
    candidates: &[Candidate],
    target: Duration,
    random: &mut R,
) -> Option<usize> {
    let unnoticed = target.as_secs_f64() * UNNOTICED_SHARE;
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let reading = candidate.reading;
        let expected = reading.expected * (1.0 + random.random::<f64>() * SPREAD);
        let mut score = expected.max(unnoticed) + expected * UNNOTICED_WEIGHT;
        if !candidate.local {
            score *= REMOTE_FACTOR;
        }
        score /= 1.0 - reading.failure_share.min(FAILURE_LIMIT);
        if reading.avoided {
            score += AVOIDED_PENALTY;
        }
        if !candidate.admitted {
            score += REFUSED_PENALTY;
        }
        if candidate.tried {
            score += TRIED_PENALTY;
        }
        if best.is_none_or(|(_, least)| score < least) {
            best = Some((at, score));
        }
    }
    best.map(|(at, _)| at)
}
