//! Division of a route's traffic among services by weight.

use {
    super::{RouteRule, SplitPart},
    crate::ids::ServiceName,
    std::collections::HashMap,
};

/// Longest part of a cycle that is skipped at the start of a route, in requests. It bounds the
/// work for a split with large weights.
const MAX_SKIPPED: u32 = 1_024;

/// Smooth weighted round robin, separately for each route.
///
/// A random choice would miss the configured shares over a few hundred requests. Hosts start
/// at different points of the cycle: of many hosts, each gets only a few requests of a route,
/// and they would all begin with the part of the largest weight.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// Point of the cycle at which a route starts, in 0..1.
    phase: f64,
    /// For each route the current weight of each part: it rises by the configured weight with every
    /// request, and falls by the sum of all weights when the part is chosen.
    current_weights: HashMap<String, Vec<i64>>,
}

impl WeightedRoundRobin {
    /// Starts each route at this point of its cycle; `phase` is in 0..1.
    pub fn with_phase(phase: f64) -> Self {
        Self {
            phase,
            current_weights: HashMap::new(),
        }
    }

    /// Chooses the service for the route's next request.
    pub fn next(&mut self, rule: &RouteRule) -> ServiceName {
        if let [single] = rule.split.as_slice() {
            return single.service.clone();
        }
        let phase = self.phase;
        let current_weights = self
            .current_weights
            .entry(rule.name.clone())
            .or_insert_with(|| start_weights(&rule.split, phase));
        let best = advance(&rule.split, current_weights);
        rule.split[best].service.clone()
    }

    /// Clears the state of all routes, for a new configuration.
    pub fn reset(&mut self) {
        self.current_weights.clear();
    }
}

/// Weights after the part of a cycle that `phase` tells.
fn start_weights(split: &[SplitPart], phase: f64) -> Vec<i64> {
    let mut current_weights = vec![0; split.len()];
    let cycle = split
        .iter()
        .fold(0_u32, |sum, part| sum.saturating_add(part.weight));
    let skipped = phase * f64::from(cycle.min(MAX_SKIPPED));
    for _ in 0..skipped as u32 {
        advance(split, &mut current_weights);
    }
    current_weights
}

/// Chooses the next part; returns its index.
fn advance(split: &[SplitPart], current_weights: &mut [i64]) -> usize {
    let total: i64 = split.iter().map(|part| i64::from(part.weight)).sum();
    let mut best = 0;
    for (index, part) in split.iter().enumerate() {
        current_weights[index] += i64::from(part.weight);
        if current_weights[index] > current_weights[best] {
            best = index;
        }
    }
    current_weights[best] -= total;
    best
}
