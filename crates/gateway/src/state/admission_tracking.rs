//! Admission of requests by rank and by hot key, as this host has to apply them.

use {
    super::{
        HostState, PickQuery, PickRefusal, host_state::StateInner, refusal_counts::RefusalCounts,
        slot_waits::SlotWaits,
    },
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, GaugeReading, KeyGates, KeyShare, RankGate, ReturnPlan,
            ReturnQuery, ReturnReason, ReturnTarget, retry_after,
        },
        ids::ServiceName,
        routing::RouteRank,
        time::BootTime,
    },
    std::{collections::HashMap, time::Duration},
};

/// What this host keeps between admission decisions.
#[derive(Debug, Default)]
pub(super) struct AdmissionTracking {
    /// Guarantees of the less urgent ranks, one for each service and rank in the configuration.
    rank_gates: HashMap<(ServiceName, RouteRank), RankGate>,
    /// Keys whose requests are more than their owners can take.
    pub(super) key_gates: KeyGates,
    /// Refusals since the process started.
    pub(super) refusals: RefusalCounts,
    /// Requests that wait for room at a server.
    pub(super) slot_waits: SlotWaits,
    /// Times at which callers of refused requests are to return.
    returns: ReturnPlan,
}

impl StateInner {
    /// Decides whether the server with this reading gets the request.
    pub(super) fn decide_admission(
        &mut self,
        query: PickQuery<'_>,
        rule: AdmissionRule,
        reading: GaugeReading,
    ) -> Admission {
        // A request that waits has had its part of the guarantee when it arrived.
        let limit = rule.rank_limit.filter(|_| !query.is_waiting);
        let Some(limit) = limit else {
            return rule.decide(reading);
        };
        let key = (query.service.clone(), limit.rank);
        let gate = self.admission.rank_gates.entry(key).or_default();
        gate.decide(rule, reading)
    }

    /// Time after which the caller of a refused request is to return to a target with this reading and
    /// capacity in requests a second.
    pub(super) fn plan_return(
        &mut self,
        query: PickQuery<'_>,
        refusal: PickRefusal,
        target: ReturnTarget,
        (reading, capacity): (GaugeReading, f64),
        now: BootTime,
    ) -> Duration {
        let spread = rand::RngExt::random(&mut self.random);
        let reason = match refusal {
            PickRefusal::HotKey => ReturnReason::HotKey,
            _ => ReturnReason::Overloaded,
        };
        if !query.plans_returns || query.is_waiting {
            return retry_after(Some(reading), spread);
        }
        let return_query = ReturnQuery {
            reason,
            reading,
            capacity,
            hosts: self.hosts(),
            time_left: query.rule.time_left,
        };
        self.admission
            .returns
            .plan(target, return_query, spread, now)
    }
}

/// Requests a second that a server with this reading answers.
pub(super) fn answer_rate(reading: &GaugeReading) -> f64 {
    f64::from(reading.slots) / reading.service_time.max(0.001)
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
