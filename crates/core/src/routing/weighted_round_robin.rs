//! Exact division of a route's traffic by weight.

use {
    super::{RouteRule, SplitPart},
    crate::ids::ServiceName,
    std::collections::HashMap,
};

/// Smooth weighted round robin, separately for each route.
///
/// A random choice would miss the configured shares over a few hundred requests.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedRoundRobin {
    /// Service of the route's next request.
    pub fn next(&mut self, rule: &RouteRule) -> ServiceName {
        if let [only] = rule.split.as_slice() {
            return only.service.clone();
        }
        let credits = self.credits.entry(rule.name.clone()).or_default();
        credits.resize(rule.split.len(), 0);
        let total: i64 = rule.split.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (at, part) in rule.split.iter().enumerate() {
            credits[at] += i64::from(part.weight);
            if credits[at] > credits[best] {
                best = at;
            }
        }
        credits[best] -= total;
        let SplitPart { service, .. } = &rule.split[best];
        service.clone()
    }

    /// Forgets all positions, for a new configuration.
    pub fn reset(&mut self) {
        self.credits.clear();
    }
}
