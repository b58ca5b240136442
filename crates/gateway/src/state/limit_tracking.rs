//! Limits that servers name, as this host knows them from answers and from the leader.

use {
    super::{HostState, ServerHash},
    bincode::{Decode, Encode},
    camphorcove_core::{
        dispatch::{AdmittedShare, LimitGate, RequestRate, ServerGauge},
        ids::ServerId,
    },
    std::collections::HashMap,
};

/// Limit of a server, and the share of their requests that hosts send to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SharedLimit {
    /// The limited server.
    pub server: ServerHash,
    /// Limit for all hosts together.
    pub limit: RequestRate,
    /// Share of the requests that each host lets through.
    pub share: AdmittedShare,
}

impl HostState {
    /// Records the limit that a server names in an answer, or that it names none.
    pub fn record_limit(&self, server: &ServerId, limit: Option<RequestRate>) {
        let now = self.now();
        let mut inner = self.lock();
        let phase = rand::RngExt::random(&mut inner.random);
        let Some(gauge) = inner.gauges.get_mut(server) else {
            return;
        };
        let known = gauge.limit_gate().map(LimitGate::limit);
        gauge.record_limit(limit, phase, now);
        log_limit_change(server, known, limit);
    }

    /// Sets the limits and shares that the leader lists. A limit that it does not list is over
    /// after some time.
    pub fn set_shared_limits(&self, limits: &[SharedLimit]) {
        let now = self.now();
        let limits: HashMap<ServerHash, &SharedLimit> =
            limits.iter().map(|limit| (limit.server, limit)).collect();
        let mut inner = self.lock();
        let inner = &mut *inner;
        for (id, gauge) in &mut inner.gauges {
            let known = gauge.limit_gate().map(LimitGate::limit);
            let Some(listed) = limits.get(&ServerHash::of(id)) else {
                if gauge.limit_gate().is_some_and(|gate| gate.is_over(now)) {
                    gauge.set_limit_gate(None);
                    log_limit_change(id, known, None);
                }
                continue;
            };
            if known.is_none() {
                let phase = rand::RngExt::random(&mut inner.random);
                gauge.set_limit_gate(Some(LimitGate::new(listed.limit, phase, now)));
            }
            if let Some(gate) = gauge.limit_gate_mut() {
                gate.set_share(listed.limit, listed.share, now);
            }
            log_limit_change(id, known, Some(listed.limit));
        }
    }

    /// Limits that this host knows.
    pub fn shared_limits(&self) -> Vec<SharedLimit> {
        let inner = self.lock();
        let mut limits = Vec::new();
        for (id, gauge) in &inner.gauges {
            let Some(gate) = gauge.limit_gate() else {
                continue;
            };
            limits.push(SharedLimit {
                server: ServerHash::of(id),
                limit: gate.limit(),
                share: gate.share(),
            });
        }
        limits
    }

    /// Number of servers that limit the rate of requests.
    pub fn limited_servers(&self) -> usize {
        let inner = self.lock();
        let limited = |gauge: &&ServerGauge| gauge.limit_gate().is_some();
        inner.gauges.values().filter(limited).count()
    }
}

fn log_limit_change(server: &ServerId, known: Option<RequestRate>, limit: Option<RequestRate>) {
    match limit {
        Some(limit) if known != Some(limit) => {
            log::info!(server = server.as_str(), limit:% = limit; "server limits the rate of requests");
        }
        None if known.is_some() => {
            log::info!(server = server.as_str(); "server no longer limits the rate of requests");
        }
        _ => {}
    }
}
