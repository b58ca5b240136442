//! Admission of requests by rank and by hot key, as this host has to apply them.

use {
    super::{HostState, host_state::StateInner},
    camphorcove_core::{
        dispatch::{Admission, AdmissionRule, GaugeReading, KeyGates, KeyShare, RankGate},
        ids::ServiceName,
        routing::RouteRank,
    },
    std::collections::HashMap,
};

/// What this host keeps between admission decisions.
#[derive(Debug, Default)]
pub(super) struct AdmissionTracking {
    /// Guarantees of the less urgent ranks, one for each service and rank in the configuration.
    rank_gates: HashMap<(ServiceName, RouteRank), RankGate>,
    /// Keys whose requests are more than their owners can take.
    pub(super) key_gates: KeyGates,
}

impl StateInner {
    /// Decides whether the server with this reading gets the request.
    pub(super) fn decide_admission(
        &mut self,
        service: &ServiceName,
        rule: AdmissionRule,
        reading: GaugeReading,
    ) -> Admission {
        let Some(limit) = rule.rank_limit else {
            return rule.decide(reading);
        };
        let key = (service.clone(), limit.rank);
        let gate = self.admission.rank_gates.entry(key).or_default();
        gate.decide(rule, reading)
    }
}

impl HostState {
    /// Sets the keys whose requests are more than their owners can take, as the leader lists them.
    pub fn set_key_shares(&self, shares: &[KeyShare]) {
        let now = self.now();
        let mut inner = self.lock();
        let phase = rand::RngExt::random(&mut inner.random);
        let before = inner.admission.key_gates.count(now);
        inner.admission.key_gates.set_shares(shares, phase, now);
        if (before == 0) != shares.is_empty() {
            log::info!(keys = shares.len(), before; "list of hot keys changed");
        }
    }

    /// Number of keys whose requests are more than their owners can take.
    pub fn hot_keys(&self) -> usize {
        let now = self.now();
        self.lock().admission.key_gates.count(now)
    }
}
