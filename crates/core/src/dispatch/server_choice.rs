//! Choice among the servers of a service without keys.
//!
//! Answers uneven speeds and uneven load: the server that is expected to answer
//! first gets the request.

use {
    super::GaugeReading,
    rand::{Rng, RngExt},
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
}

/// Factor on the expected time of servers in other zones. Bytes between zones are
/// paid for, so a local server is used while it is not clearly slower.
const REMOTE_FACTOR: f64 = 1.25;

/// Random part of the score: keeps hosts from choosing the same server at once.
const SPREAD: f64 = 0.15;

/// Failure shares above this do not raise the score further.
const FAILURE_LIMIT: f64 = 0.9;

/// Position of the best candidate; avoided and tried servers only if there is no other.
pub fn choose_server<R: Rng>(candidates: &[Candidate], random: &mut R) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let reading = candidate.reading;
        let mut score = reading.expected * (1.0 + random.random::<f64>() * SPREAD);
        if !candidate.local {
            score *= REMOTE_FACTOR;
        }
        score /= 1.0 - reading.failure_share.min(FAILURE_LIMIT);
        // Classes apart: usable before avoided, untried before tried.
        if reading.avoided {
            score += 1e6;
        }
        if candidate.tried {
            score += 1e3;
        }
        if best.is_none_or(|(_, least)| score < least) {
            best = Some((at, score));
        }
    }
    best.map(|(at, _)| at)
}
