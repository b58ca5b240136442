//! Whether this host's own calls to the store succeed.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time for which calls have to fail before the store counts as out of reach: a second attempt
/// has failed by then.
const STORE_LOSS_TIME: Duration = Duration::from_millis(250);

/// Results of this host's calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// First failure since the last success.
    failing_since: Option<BootTime>,
}

impl StoreContact {
    /// Records a call that the store answered.
    pub fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Records a call that failed or was turned away.
    pub fn record_failure(&mut self, now: BootTime) {
        self.failing_since.get_or_insert(now);
    }

    /// Whether the store is out of this host's reach.
    pub fn is_lost(&self, now: BootTime) -> bool {
        let since = self.failing_since;
        since.is_some_and(|since| now.since(since) >= STORE_LOSS_TIME)
    }
}
