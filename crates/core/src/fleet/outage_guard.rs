//! Whether a removed entry means that its server leaves.
//!
//! Answers the load after an outage of the store: most entries have lapsed, though their
//! servers live and are back in the store within about two seconds. Dropping them all
//! would leave callers without servers.

use {crate::time::BootTime, std::time::Duration};

/// Time in which entries that lapsed during an outage are back after the store is.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Share of the ready servers whose entries vanish together only in an outage that no
/// host has noticed, and the fewest such servers.
const LAPSE_SHARE: f64 = 0.25;
const LAPSE_LEAST: usize = 2;

/// Time for which such servers still count: below the 2 s after which no request may
/// reach a server that left.
const LAPSE_HOLD: Duration = Duration::from_millis(1_000);

/// What the removal of an entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalRule {
    /// The server leaves.
    Leaves,
    /// The entry may have lapsed while the store was away.
    MayReturn {
        /// When a server whose entry is still missing has left.
        until: BootTime,
    },
}

/// Remembers the last store outage, to tell servers that leave from entries that expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageGuard {
    settled_at: BootTime,
}

impl OutageGuard {
    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: BootTime) {
        self.settled_at = now + RETURN_TIME;
    }

    /// Rule for `removed` entries that vanish together from `ready` servers.
    pub fn rule(&self, removed: usize, ready: usize, now: BootTime) -> RemovalRule {
        if now < self.settled_at {
            let until = self.settled_at;
            return RemovalRule::MayReturn { until };
        }
        if removed >= LAPSE_LEAST && removed as f64 >= ready as f64 * LAPSE_SHARE {
            let until = now + LAPSE_HOLD;
            return RemovalRule::MayReturn { until };
        }
        RemovalRule::Leaves
    }
}
