//! Until when a server may hold a range.
//!
//! A lease runs from the arrival of the order. An order that got no answer may have
//! arrived at any moment until its connection was given up.

use {
    super::{KeyRange, ServerInstance},
    crate::{ids::ServiceName, time::BootTime},
    std::{collections::HashMap, time::Duration},
};

/// Length of the lease that a grant gives. Renewal, one retry and this lease together stay below the 5 s
/// within which a key is served again after the loss of its owner.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// Interval at which a grant is renewed: two renewals may be lost within a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(800);

/// Longest wait for the answer to an order: many times a round trip between zones.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time that a leader renews grants without word from the store while most
/// hosts report to it; it covers the store outages that are borne without loss of keys.
pub const AUTHORITY_LIMIT: Duration = Duration::from_secs(12);

/// [`AUTHORITY_LIMIT`] for a leader to which most hosts do not report: two questions to the store may fail.
/// A successor to which most hosts report waits only for this.
pub const AUTHORITY_LIMIT_WITHOUT_MAJORITY: Duration = Duration::from_millis(2_500);

/// Age up to which reports of a majority of hosts support the leader.
pub const MAJORITY_REPORT_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Thousandths by which a server's clock may be slow.
const SLOW_CLOCK_PERMILLE: u32 = 20;

/// Allowance for timers that fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(30);

/// Longest time for which a lease of length `lease` may last on a server whose clock is slow.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease + lease * SLOW_CLOCK_PERMILLE / 1_000 + TIMER_MARGIN
}

/// Latest ends of the leases that this leader knows of or has inherited.
#[derive(Clone, Debug, Default)]
pub struct LeaseBounds {
    /// End of every lease that an earlier leader may have granted.
    inherited: BootTime,
    ends: HashMap<(ServiceName, ServerInstance), Vec<(KeyRange, BootTime)>>,
}

impl LeaseBounds {
    /// Bounds of a leader whose predecessor may act until `predecessor_end`.
    pub fn new(predecessor_end: BootTime) -> Self {
        Self {
            inherited: predecessor_end + max_lease_duration(LEASE_DURATION),
            ends: HashMap::new(),
        }
    }

    /// Lowers the bound of an earlier leader that is known to act no longer than this.
    pub fn predecessor_ends(&mut self, end: BootTime) {
        self.inherited = self.inherited.min(end + max_lease_duration(LEASE_DURATION));
    }

    /// Notes an order that may reach the server until `latest_arrival`.
    pub fn note(
        &mut self,
        service: &ServiceName,
        owner: &ServerInstance,
        range: KeyRange,
        latest_arrival: BootTime,
        lease: Duration,
    ) {
        let end = latest_arrival + max_lease_duration(lease);
        let ends = self
            .ends
            .entry((service.clone(), owner.clone()))
            .or_default();
        match ends.iter_mut().find(|(known, _)| *known == range) {
            Some((_, known)) => *known = end.max(*known),
            None => ends.push((range, end)),
        }
    }

    /// When nobody but the server's next owner can hold any key of `range`.
    pub fn end(&self, service: &ServiceName, owner: &ServerInstance, range: KeyRange) -> BootTime {
        let ends = self.ends.get(&(service.clone(), owner.clone()));
        let own = ends
            .into_iter()
            .flatten()
            .filter(|(known, _)| known.overlaps(range))
            .map(|(_, end)| *end)
            .max();
        own.unwrap_or_default().max(self.inherited)
    }

    /// Forgets leases that are over.
    pub fn expire(&mut self, now: BootTime) {
        self.ends.retain(|_, ends| {
            ends.retain(|(_, end)| *end > now);
            !ends.is_empty()
        });
    }
}
