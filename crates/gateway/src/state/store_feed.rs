//! Decides whether this host follows the store through the leader or by its own watch.
//!
//! Every call to the store is billed, so not every host watches it. The leader and a few other
//! hosts do, and the leader sends changes to the rest. Its digests name the newest versions,
//! which lets a host detect missed changes. A host that gets no digests watches the store
//! itself.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time without a digest after which a host watches the store itself. It is longer than a
/// usual change of leader, and short enough that a change of the store still takes effect in
/// time.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after process start for which a host waits for the first digest.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Source from which this host learns of changes in the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreFeed {
    /// Since when this host has to watch the store although digests arrive.
    watching_since: Option<BootTime>,
    digests_valid_until: BootTime,
}

impl StoreFeed {
    /// Creates the feed at process start; it waits for a first digest.
    pub fn new(now: BootTime) -> Self {
        Self {
            watching_since: None,
            digests_valid_until: now + FIRST_DIGEST_TIMEOUT,
        }
    }

    /// Records a digest; `must_watch` says that it tells this host to watch the store.
    pub fn record_digest(&mut self, must_watch: bool, now: BootTime) {
        self.watching_since = must_watch.then(|| self.watching_since.unwrap_or(now));
        self.digests_valid_until = now + DIGEST_TIMEOUT;
    }

    /// Makes this host watch the store until the next digest from another host.
    pub fn start_store_watch(&mut self, now: BootTime) {
        self.watching_since.get_or_insert(now);
    }

    /// Since when this host has to watch the store although digests arrive.
    pub fn watching_since(&self) -> Option<BootTime> {
        self.watching_since
    }

    /// Time for which this host may rely on the leader's digests; zero if it has to watch the
    /// store.
    pub fn time_left(&self, now: BootTime) -> Duration {
        match self.watching_since {
            Some(_) => Duration::ZERO,
            None => self.digests_valid_until.since(now),
        }
    }
}
