//! A host's part of a limit that a server names for all hosts together.
//!
//! Most hosts send a server less than one request in the time between two messages of the
//! leader, so a fixed part of the limit for each host would be too coarse. Instead, the leader
//! tells all hosts which share of their requests may pass, and each host lets exactly that share
//! through.

use {
    super::{RequestRate, bounded_retry_after},
    crate::time::BootTime,
    bincode::{Decode, Encode},
    std::{fmt, time::Duration},
};

/// Time for which a host relies on a share: a change of leader takes less.
const SHARE_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a limit holds that neither an answer names nor the leader lists: within it, a new
/// leader has learned the limits from the reports of all hosts.
const UNLISTED_TIME: Duration = Duration::from_millis(1_000);

/// Share of the requests for a server that may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct AdmittedShare {
    thousandths: u16,
}

impl AdmittedShare {
    /// All requests.
    pub const ALL: Self = Self { thousandths: 1_000 };

    /// The share closest to `fraction`, but not zero, since a server that gets no requests cannot
    /// tell that it takes more.
    pub fn from_fraction(fraction: f64) -> Self {
        Self {
            thousandths: (fraction * 1_000.0).round().clamp(1.0, 1_000.0) as u16,
        }
    }

    /// The share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for AdmittedShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.fraction())
    }
}

/// Requests for a limited server at one host since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LimitedRequests {
    /// Requests that the server was chosen for.
    pub offered: u32,
    /// Requests of these that were let through.
    pub admitted: u32,
}

/// Lets a share of the requests for one limited server through.
#[derive(Clone, Debug)]
pub struct LimitGate {
    limit: RequestRate,
    /// When the server last named the limit to this host, or the leader listed it.
    known_at: BootTime,
    share: AdmittedShare,
    /// When the leader last set the share.
    shared_at: BootTime,
    /// Part of a request that may pass already; the next request passes when it reaches 1.
    credit: f64,
    /// When a request last asked to pass.
    asked_at: BootTime,
    requests: LimitedRequests,
}

impl LimitGate {
    /// Creates a gate that lets all requests through until the leader has set the share, which
    /// the leader does once it knows the limit.
    ///
    /// `phase`, a random number in 0..1, keeps hosts from sending their first requests together.
    pub fn new(limit: RequestRate, phase: f64, now: BootTime) -> Self {
        Self {
            limit,
            known_at: now,
            share: AdmittedShare::ALL,
            shared_at: now,
            credit: phase,
            asked_at: now,
            requests: LimitedRequests::default(),
        }
    }

    /// Limit for all hosts together.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Share of the requests that may pass.
    pub fn share(&self) -> AdmittedShare {
        self.share
    }

    /// Records that the server has named the limit to this host.
    pub fn record_named(&mut self, limit: RequestRate, now: BootTime) {
        self.limit = limit;
        self.known_at = now;
    }

    /// Sets the limit and the share that the leader lists.
    pub fn set_share(&mut self, limit: RequestRate, share: AdmittedShare, now: BootTime) {
        self.limit = limit;
        self.share = share;
        self.shared_at = now;
        self.known_at = now;
    }

    /// Whether a limit that the leader does not list is over.
    pub fn is_over(&self, now: BootTime) -> bool {
        now.since(self.known_at) >= UNLISTED_TIME
    }

    /// Asks for a request to pass. Without a recent share, the limit is divided evenly among
    /// `hosts`.
    pub fn admit(&mut self, hosts: u32, now: BootTime) -> bool {
        self.requests.offered += 1;
        let elapsed = now.since(self.asked_at);
        self.asked_at = now;
        self.credit = match now.since(self.shared_at) < SHARE_MAX_AGE {
            true => self.credit + self.share.fraction(),
            false => {
                let own_rate = self.limit.per_second() / f64::from(hosts.max(1));
                (self.credit + own_rate * elapsed.as_secs_f64()).min(1.0)
            }
        };
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.requests.admitted += 1;
        true
    }

    /// Returns the requests since the last call.
    pub fn take_requests(&mut self) -> LimitedRequests {
        std::mem::take(&mut self.requests)
    }

    /// Time after which the caller of a refused request should retry: the server needs it for the
    /// requests that are refused within a second. `spread` is a random number in 0..1.
    pub fn retry_after(&self, spread: f64) -> Duration {
        bounded_retry_after(1.0 / self.share.fraction() - 1.0, spread)
    }
}
