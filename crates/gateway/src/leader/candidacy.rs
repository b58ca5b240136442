//! When this host tries to become the leader.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time without a digest after which a leader counts as lost: six digests. A
/// takeover, one grant and this time stay within a lease.
const DIGEST_LIMIT: Duration = Duration::from_millis(800);

/// Spread of the tries of hosts of the same size, so that one of them is usually first.
const DRAW_SPREAD: Duration = Duration::from_millis(160);

/// Time by which the smallest hosts try later: renewals and reports of a large fleet keep
/// a small host busy, so it leads only where no larger one does.
const SIZE_SPREAD: Duration = Duration::from_millis(500);

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
    cpu_permille: u16,
    largest: u16,
    draw: f64,
}

impl Candidacy {
    /// Candidacy of a process that starts now, on a host with that share of a core;
    /// `draw` in 0..1 spreads hosts of the same size.
    pub fn new(now: BootTime, cpu_permille: u16, draw: f64) -> Self {
        Self {
            heard_at: now.minus(START_HEAD),
            vacant_at: None,
            not_before: now,
            cpu_permille,
            largest: cpu_permille,
            draw,
        }
    }

    /// Notes the share of the largest host.
    pub fn note_largest(&mut self, cpu_permille: u16) {
        self.largest = cpu_permille.max(self.cpu_permille);
    }

    /// Time by which this host tries later than the first one.
    fn rank(&self) -> Duration {
        let size = f64::from(self.cpu_permille) / f64::from(self.largest.max(1));
        DRAW_SPREAD.mul_f64(self.draw) + SIZE_SPREAD.mul_f64(1.0 - size)
    }

    /// Notes a sign of a leader that reaches the store.
    pub fn heard(&mut self, now: BootTime) {
        self.heard_at = now;
    }

    /// Whether to try now; `vacant` if nobody can be the leader.
    pub fn is_due(&mut self, vacant: bool, now: BootTime) -> bool {
        let waited = match vacant {
            true => {
                let since = *self.vacant_at.get_or_insert(now);
                now.since(since) >= self.rank() / 2
            }
            false => {
                self.vacant_at = None;
                now.since(self.heard_at) >= DIGEST_LIMIT + self.rank()
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
