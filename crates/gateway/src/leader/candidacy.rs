//! Decides when this host tries to become the leader.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time without a digest after which the leader counts as lost: six digests. Together
/// with a takeover and one grant, it is shorter than a lease.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);

/// Upper bound of the random delay of an attempt. The delay separates hosts of equal
/// size, so that one of them usually tries first.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(160);

/// Upper bound of the delay for small hosts. Lease renewals and reports of a large fleet
/// keep a small host busy, so it is to lead only if no larger host does.
const MAX_SIZE_DELAY: Duration = Duration::from_millis(500);

/// Part of [`LEADER_TIMEOUT`] that counts as elapsed when a process starts. The full timeout
/// is not needed then, as a live leader answers the first report at once.
const STARTUP_ELAPSED: Duration = Duration::from_millis(300);

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

/// Pause after this host resigned as leader.
const RESIGN_PAUSE: Duration = Duration::from_secs(5);

/// Decides from the leader's digests when this host tries to take over.
///
/// Each host waits for a timeout plus a delay of its own, which is shorter for larger hosts.
#[derive(Clone, Debug)]
pub struct Candidacy {
    /// When this host last had evidence of a leader that reaches the store.
    last_contact_at: BootTime,
    /// Since when there has been no leader to wait for.
    vacant_since: Option<BootTime>,
    not_before: BootTime,
    cpu_permille: u16,
    largest_cpu_permille: u16,
    jitter: f64,
}

impl Candidacy {
    /// Starts the timeout at process start. `cpu_permille` is the CPU share of this host in
    /// thousandths of a core; `jitter` is a random number in 0..1.
    pub fn new(now: BootTime, cpu_permille: u16, jitter: f64) -> Self {
        Self {
            last_contact_at: now.minus(STARTUP_ELAPSED),
            vacant_since: None,
            not_before: now,
            cpu_permille,
            largest_cpu_permille: cpu_permille,
            jitter,
        }
    }

    /// Records the CPU share of the largest host, which this host compares its own with.
    pub fn record_largest_host(&mut self, cpu_permille: u16) {
        self.largest_cpu_permille = cpu_permille.max(self.cpu_permille);
    }

    /// Delay of this host on top of the timeout.
    fn attempt_delay(&self) -> Duration {
        let size = f64::from(self.cpu_permille) / f64::from(self.largest_cpu_permille.max(1));
        MAX_RANDOM_DELAY.mul_f64(self.jitter) + MAX_SIZE_DELAY.mul_f64(1.0 - size)
    }

    /// Restarts the timeout, after evidence of a leader that reaches the store.
    pub fn record_leader_contact(&mut self, now: BootTime) {
        self.last_contact_at = now;
    }

    /// Whether to try to take over now. `vacant` says that there is no leader to wait for,
    /// so the timeout does not apply and the delay is halved.
    pub fn is_due(&mut self, vacant: bool, now: BootTime) -> bool {
        let wait_is_over = match vacant {
            true => {
                let since = *self.vacant_since.get_or_insert(now);
                now.since(since) >= self.attempt_delay() / 2
            }
            false => {
                self.vacant_since = None;
                now.since(self.last_contact_at) >= LEADER_TIMEOUT + self.attempt_delay()
            }
        };
        wait_is_over && now >= self.not_before
    }

    /// Records an attempt; the next one waits for `RETRY_PAUSE`.
    pub fn record_attempt(&mut self, now: BootTime) {
        self.not_before = now + RETRY_PAUSE;
    }

    /// Records that this host resigned; the next attempt waits for `RESIGN_PAUSE`.
    pub fn record_resignation(&mut self, now: BootTime) {
        self.not_before = now + RESIGN_PAUSE;
    }
}
