//! Admission of requests by rank and by hot key, as this host has to apply them.

use {
    super::host_state::StateInner,
    camphorcove_core::{
        dispatch::{Admission, AdmissionRule, GaugeReading, RankGate},
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
