//! Division of a route's traffic among services by weight.

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
    /// For each route the current weight of each part: it rises by the configured weight with every
    /// request, and falls by the sum of all weights when the part is chosen.
    current_weights: HashMap<String, Vec<i64>>,
}

impl WeightedRoundRobin {
    /// Chooses the service for the route's next request.
    pub fn next(&mut self, rule: &RouteRule) -> ServiceName {
        if let [single] = rule.split.as_slice() {
            return single.service.clone();
        }
        let current_weights = self.current_weights.entry(rule.name.clone()).or_default();
        current_weights.resize(rule.split.len(), 0);
        let total: i64 = rule.split.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (index, part) in rule.split.iter().enumerate() {
            current_weights[index] += i64::from(part.weight);
            if current_weights[index] > current_weights[best] {
                best = index;
            }
        }
        current_weights[best] -= total;
        let SplitPart { service, .. } = &rule.split[best];
        service.clone()
    }

    /// Clears the state of all routes, for a new configuration.
    pub fn reset(&mut self) {
        self.current_weights.clear();
    }
}
