//! Distinguishes servers that leave from entries that expired in a store outage.
//!
//! After an outage of the store, most entries have expired, although their servers are
//! running and register again within about two seconds. Removing all of them would leave
//! callers without servers.

use {crate::time::BootTime, std::time::Duration};

/// Time within which servers whose entries expired in an outage register again after its end.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// Share of the ready servers, and their smallest number, from which entries that vanish
/// together indicate a store outage that no host has noticed.
const MASS_EXPIRY_SHARE: f64 = 0.25;
const MASS_EXPIRY_MIN_SERVERS: usize = 2;

/// Time for which these servers stay in the fleet: below the 2 s after which no request may
/// reach a server that has left.
const MASS_EXPIRY_GRACE_PERIOD: Duration = Duration::from_millis(1_000);

/// What the removal of an entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalRule {
    /// The server is leaving.
    Leaves,
    /// The entry may have expired in a store outage.
    MayReturn {
        /// Time at which the server leaves the fleet if its entry is still missing.
        until: BootTime,
    },
}

/// Keeps the end of the last store outage, to decide what the removal of an entry means.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageGuard {
    /// When servers have had time to register again after the last outage.
    reregistered_at: BootTime,
}

impl OutageGuard {
    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: BootTime) {
        self.reregistered_at = now + REREGISTRATION_TIME;
    }

    /// Rule for `removed` entries that vanish together, out of `ready` servers.
    pub fn rule(&self, removed: usize, ready: usize, now: BootTime) -> RemovalRule {
        if now < self.reregistered_at {
            let until = self.reregistered_at;
            return RemovalRule::MayReturn { until };
        }
        if removed >= MASS_EXPIRY_MIN_SERVERS && removed as f64 >= ready as f64 * MASS_EXPIRY_SHARE
        {
            let until = now + MASS_EXPIRY_GRACE_PERIOD;
            return RemovalRule::MayReturn { until };
        }
        RemovalRule::Leaves
    }
}
