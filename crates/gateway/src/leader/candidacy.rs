//! When this host tries to become the leader.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time without a digest after which a leader counts as lost: six digests. A
/// takeover, one grant and this time stay within a lease.
const DIGEST_LIMIT: Duration = Duration::from_millis(800);

/// Spread of the hosts' tries, so that one of them is usually first.
const RANK_SPREAD: Duration = Duration::from_millis(400);

/// Part of the spread that depends on the host's processor: renewals and reports of a
/// large fleet keep a small host busy, so larger hosts try first.
const SIZE_SHARE: f64 = 0.6;

/// Share of a core from which on a host counts as large.
const LARGE_SHARE: f64 = 0.5;

/// Part of that time that has passed when a process starts: a live leader answers the
/// first reports at once.
const START_HEAD: Duration = Duration::from_millis(300);

/// Pause after a try that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

/// Pause after this host gave up the leadership by itself.
const RESIGN_PAUSE: Duration = Duration::from_secs(5);

/// Watches the leader's digests.
#[derive(Clone, Debug)]
pub struct Candidacy {
    heard_at: BootTime,
    /// When this host learned that nobody leads.
    vacant_at: Option<BootTime>,
    not_before: BootTime,
    rank: Duration,
}

impl Candidacy {
    /// Candidacy of a process that starts now, on a host with `cpu_share` of a core;
    /// `draw` in 0..1 spreads hosts of the same size.
    pub fn new(now: BootTime, cpu_share: f64, draw: f64) -> Self {
        let lack = 1.0 - (cpu_share / LARGE_SHARE).clamp(0.0, 1.0);
        let rank = SIZE_SHARE * lack + (1.0 - SIZE_SHARE) * draw;
        Self {
            heard_at: now.back(START_HEAD),
            vacant_at: None,
            not_before: now,
            rank: RANK_SPREAD.mul_f64(rank),
        }
    }

    /// Notes a sign of a leader that reaches the store.
    pub fn heard(&mut self, now: BootTime) {
        self.heard_at = now;
    }

    /// Whether to try now; `vacant` if nobody can be the leader.
    pub fn is_due(&mut self, vacant: bool, now: BootTime) -> bool {
        let waited = match vacant {
            true => now.since(*self.vacant_at.get_or_insert(now)) >= self.rank / 2,
            false => {
                self.vacant_at = None;
                now.since(self.heard_at) >= DIGEST_LIMIT + self.rank
            }
        };
        waited && now >= self.not_before
    }

    /// Notes a try.
    pub fn tried(&mut self, now: BootTime) {
        self.not_before = now + RETRY_PAUSE;
    }

    /// Notes that this host gave up the leadership.
    pub fn resigned(&mut self, now: BootTime) {
        self.not_before = now + RESIGN_PAUSE;
    }
}
