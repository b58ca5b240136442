//! Whether a host reaches servers at all, told from servers that fail.
//!
//! A single server that cannot be reached has most likely failed. If several of them cannot, the
//! host connects to servers that nothing is known against; its own network is at fault only
//! if none of these accepts.

use {
    crate::{ids::ServerId, time::BootTime},
    std::{collections::BTreeSet, time::Duration},
};

/// Servers that cannot be reached, one after the other, from which on the host checks its own
/// network.
const MIN_SUSPICIOUS: usize = 2;

/// Servers whose failures are remembered; more of them say nothing new.
const MAX_REMEMBERED: usize = 64;

/// Pause between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time without an answer of any server after which one that is silent counts against the network.
const SILENCE_TIME: Duration = Duration::from_millis(400);

/// Result of a check: connections to several servers at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachCheck {
    /// Servers that were tried.
    pub tried: usize,
    /// Servers that accepted a connection.
    pub accepted: usize,
}

/// What attempts to reach servers have shown.
#[derive(Clone, Debug, Default)]
pub struct ServerReach {
    /// Servers that could not be reached since one last accepted a connection.
    failed: BTreeSet<ServerId>,
    /// When a server last answered a request, on whatever connection.
    answered_at: BootTime,
    checked_at: Option<BootTime>,
    lost_since: Option<BootTime>,
}

impl ServerReach {
    /// Records that a server has accepted a connection.
    pub fn record_connection(&mut self) {
        if self.lost_since.is_none() {
            self.failed.clear();
        }
    }

    /// Records that a server has answered a request. Connections that were open before may work while
    /// new ones fail, so this alone does not show that servers can be reached.
    pub fn record_answer(&mut self, now: BootTime) {
        self.answered_at = now;
    }

    /// Records that a server has not answered a request in time. It is most likely slow if others
    /// answer.
    pub fn record_silence(&mut self, server: &ServerId, now: BootTime) {
        if now.since(self.answered_at) >= SILENCE_TIME {
            self.record_failure(server);
        }
    }

    /// Records that a server accepted no connection.
    pub fn record_failure(&mut self, server: &ServerId) {
        if self.failed.len() < MAX_REMEMBERED {
            self.failed.insert(server.clone());
        }
    }

    /// Whether to check now whether servers can be reached; if so, the check counts as started.
    pub fn begin_check(&mut self, now: BootTime) -> bool {
        let is_suspicious = self.lost_since.is_some() || self.failed.len() >= MIN_SUSPICIOUS;
        let is_due = self
            .checked_at
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_suspicious && is_due {
            self.checked_at = Some(now);
        }
        is_suspicious && is_due
    }

    /// Whether a check should rather use another server.
    pub fn has_failed(&self, server: &ServerId) -> bool {
        self.failed.contains(server)
    }

    /// Records the result of a check; returns whether it changes what [`is_lost`](Self::is_lost)
    /// says. One server that accepts shows that the network works.
    pub fn record_check(&mut self, check: ReachCheck, now: BootTime) -> bool {
        let was_lost = self.lost_since.is_some();
        let is_lost = check.tried > 0 && check.accepted == 0;
        if !is_lost {
            self.failed.clear();
        }
        self.lost_since = is_lost.then(|| self.lost_since.unwrap_or(now));
        was_lost != is_lost
    }

    /// Whether this host reaches no servers.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Time for which this host has reached no servers; zero if it reaches some.
    pub fn lost_for(&self, now: BootTime) -> Duration {
        let since = self.lost_since;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }
}
