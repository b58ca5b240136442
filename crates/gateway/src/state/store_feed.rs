//! Whether this host hears of the store's changes from the leader.
//!
//! Answers the load of many hosts on the store, where each call is paid for: the leader
//! and a few other hosts watch the store, and the leader passes changes on. Its digests
//! name the newest revisions, so a host notices what it missed. Without digests, a host
//! watches the store itself.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time without a digest after which a host watches the store itself: a usual change of
/// the leader is over, and a change that is learned then is still in force in time.
const FEED_LIMIT: Duration = Duration::from_millis(1_200);

/// Time after the start of the process in which a first digest is awaited.
const FIRST_FEED_LIMIT: Duration = Duration::from_millis(1_500);

/// Source of this host's news.
#[derive(Clone, Copy, Debug)]
pub struct StoreFeed {
    direct: bool,
    fed_until: BootTime,
}

impl StoreFeed {
    /// Feed of a process that starts now.
    pub fn new(now: BootTime) -> Self {
        Self {
            direct: false,
            fed_until: now + FIRST_FEED_LIMIT,
        }
    }

    /// Notes a digest, which says whether this host is to watch the store as well.
    pub fn note_digest(&mut self, direct: bool, now: BootTime) {
        self.direct = direct;
        self.fed_until = now + FEED_LIMIT;
    }

    /// Makes this host watch the store until the next digest of another host.
    pub fn start_store_watch(&mut self) {
        self.direct = true;
    }

    /// Whether this host watches the store although digests arrive.
    pub fn watches_store(&self) -> bool {
        self.direct
    }

    /// Time for which the leader's digests suffice; zero if this host must watch the store.
    pub fn time_left(&self, now: BootTime) -> Duration {
        match self.direct {
            true => Duration::ZERO,
            false => self.fed_until.since(now),
        }
    }
}
