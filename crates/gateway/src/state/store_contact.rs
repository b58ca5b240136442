//! Whether this host's own calls to the store succeed.

use {camphorcove_core::time::BootTime, std::time::Duration};

/// Time for which calls have to fail before the store counts as out of reach: a second attempt
/// has failed by then.
const STORE_LOSS_TIME: Duration = Duration::from_millis(250);

/// Time without an answer after which the store counts as out of reach of a host that watches it.
/// The host has a watch of each kind then, which the store answers at least every 0.8 s, also
/// if it is some hundred times slower than usual.
const STORE_SILENCE_TIME: Duration = Duration::from_millis(1_500);

/// Results of this host's calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// First failure since the last success.
    failing_since: Option<BootTime>,
    /// When the store last answered.
    answered_at: BootTime,
}

impl StoreContact {
    /// Records a call that the store answered.
    pub fn record_success(&mut self, now: BootTime) {
        self.failing_since = None;
        self.answered_at = now;
    }

    /// Records a call that failed or was turned away.
    pub fn record_failure(&mut self, now: BootTime) {
        self.failing_since.get_or_insert(now);
    }

    /// Whether the store is out of this host's reach; `watching_since` is set if the host watches it.
    pub fn is_lost(&self, watching_since: Option<BootTime>, now: BootTime) -> bool {
        let since = self.failing_since;
        let is_failing = since.is_some_and(|since| now.since(since) >= STORE_LOSS_TIME);
        let is_silent = watching_since
            .is_some_and(|since| now.since(since.max(self.answered_at)) >= STORE_SILENCE_TIME);
        is_failing || is_silent
    }
}
