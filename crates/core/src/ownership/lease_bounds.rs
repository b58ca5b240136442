//! Upper bounds on the time for which servers hold leases on ranges.
//!
//! A lease starts when the order that grants it arrives at the server. An order that
//! got no answer may have arrived at any time until its connection was closed.

use {
    super::{KeyRange, ServerInstance},
    crate::{ids::ServiceName, time::BootTime},
    std::{collections::HashMap, time::Duration},
};

/// Length of the lease given by a grant. Renewal interval, one retry and this lease together
/// stay below the 5 s within which a key must be served again after the loss of its owner.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// Interval at which a grant is renewed; a lease survives the loss of two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(800);

/// Timeout for the answer to an order: many round trips between zones.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which a leader renews grants without confirmation by the store while a
/// majority of the electors reports to it. Keys keep their owners in store outages up to this length.
pub const AUTHORITY_LIMIT: Duration = Duration::from_secs(12);

/// [`AUTHORITY_LIMIT`] for a leader without reports from a majority of the electors: two confirmation
/// requests to the store may fail. A successor with a majority waits only this long.
pub const AUTHORITY_LIMIT_WITHOUT_MAJORITY: Duration = Duration::from_millis(2_500);

/// Age up to which reports from a majority of the electors count as support for the leader.
pub const MAJORITY_REPORT_MAX_AGE: Duration = Duration::from_millis(1_000);

/// How slow a server's clock may run, in thousandths.
const SLOW_CLOCK_PERMILLE: u32 = 20;

/// Allowance for timers that fire late on a server.
const TIMER_MARGIN: Duration = Duration::from_millis(30);

/// Longest time for which a server with a slow clock may hold a lease of length `lease`.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease + lease * SLOW_CLOCK_PERMILLE / 1_000 + TIMER_MARGIN
}

/// Latest end of each lease granted by this leader or possibly granted by earlier leaders.
#[derive(Clone, Debug, Default)]
pub struct LeaseBounds {
    /// Time by which all leases granted by earlier leaders have ended.
    inherited_end: BootTime,
    /// Latest ends of the leases granted by this leader, by service and server.
    ends: HashMap<(ServiceName, ServerInstance), Vec<(KeyRange, BootTime)>>,
}

impl LeaseBounds {
    /// Bounds for a leader whose predecessor may send orders until `predecessor_end`.
    pub fn new(predecessor_end: BootTime) -> Self {
        Self {
            inherited_end: predecessor_end + max_lease_duration(LEASE_DURATION),
            ends: HashMap::new(),
        }
    }

    /// Time by which all leases granted by earlier leaders have ended.
    pub fn inherited_end(&self) -> BootTime {
        self.inherited_end
    }

    /// Whether earlier leaders send no more orders; leases that they have granted may go on.
    pub fn earlier_leaders_have_ended(&self, now: BootTime) -> bool {
        now + max_lease_duration(LEASE_DURATION) > self.inherited_end
    }

    /// Lowers the bound for leases of the previous leader, which sends no orders after `end`.
    pub fn limit_predecessor(&mut self, end: BootTime) {
        self.inherited_end = self
            .inherited_end
            .min(end + max_lease_duration(LEASE_DURATION));
    }

    /// Records a grant of length `lease` that may reach the server until `latest_arrival`.
    pub fn record_grant(
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

    /// Time after which `owner` can no longer hold a lease on any key of `range`.
    pub fn latest_end(
        &self,
        service: &ServiceName,
        owner: &ServerInstance,
        range: KeyRange,
    ) -> BootTime {
        let ends = self.ends.get(&(service.clone(), owner.clone()));
        let latest = ends
            .into_iter()
            .flatten()
            .filter(|(known, _)| known.overlaps(range))
            .map(|(_, end)| *end)
            .max();
        latest.unwrap_or_default().max(self.inherited_end)
    }

    /// Drops the bounds of leases that have ended by `now`.
    pub fn expire(&mut self, now: BootTime) {
        self.ends.retain(|_, ends| {
            ends.retain(|(_, end)| *end > now);
            !ends.is_empty()
        });
    }
}
