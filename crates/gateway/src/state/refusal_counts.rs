//! Counts of refusals, and what they were decided from.

use {
    super::HostState,
    camphorcove_core::{
        dispatch::GaugeReading,
        ids::{ServerId, ServiceName},
        ownership::OwnerLookup,
        routing::RouteRank,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Refusals since the process started, by reason and rank of the route.
pub(super) type RefusalCounts = BTreeMap<(&'static str, RouteRank), u64>;

/// What admission of a request for a key is decided from.
#[derive(Clone, Debug)]
pub struct AdmissionInputs {
    /// Owner of the key.
    pub owner: ServerId,
    /// What this host knows of its load.
    pub reading: GaugeReading,
    /// Age of the load that the owner has last reported to this host itself; `None` if it has not.
    pub reported_age: Option<Duration>,
    /// Age of what the leader has last told of the requests of other hosts.
    pub digest_age: Duration,
}

impl HostState {
    /// Counts a refused request.
    pub fn count_refusal(&self, reason: &'static str, rank: RouteRank) {
        let mut inner = self.lock();
        let counts = &mut inner.admission.refusals;
        *counts.entry((reason, rank)).or_default() += 1;
    }

    /// Refusals since the process started, by reason and rank of the route.
    pub fn refusal_counts(&self) -> Vec<(&'static str, RouteRank, u64)> {
        let inner = self.lock();
        let counts = inner.admission.refusals.iter();
        counts
            .map(|((reason, rank), count)| (*reason, *rank, *count))
            .collect()
    }

    /// What admission of a request for a key is decided from now; `None` without an owner.
    pub fn admission_inputs(&self, service: &ServiceName, key: u16) -> Option<AdmissionInputs> {
        let now = self.now();
        let inner = self.lock();
        let OwnerLookup::Owner(owner) = inner.owners.lookup(service, key) else {
            return None;
        };
        let gauge = inner.gauges.get(&owner.id)?;
        Some(AdmissionInputs {
            reading: gauge.read(now),
            reported_age: gauge.reported_load_age(now),
            digest_age: now.since(inner.remote_load_at),
            owner: owner.id,
        })
    }
}
