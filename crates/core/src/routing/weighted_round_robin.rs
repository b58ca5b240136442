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
    /// Cycles of each route. There are several while requests that were read under an earlier
    /// configuration still have to be divided.
    cycles: HashMap<String, Vec<SplitCycle>>,
}

/// Point that the requests of a route have reached in the cycle of one split.
#[derive(Debug)]
struct SplitCycle {
    split: Vec<SplitPart>,
    /// Current weight of each part: it rises by the configured weight with every request, and falls by
    /// the sum of all weights when the part is chosen.
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts each route at this point of its cycle; `phase` is in 0..1.
    pub fn with_phase(phase: f64) -> Self {
        Self {
            phase,
            cycles: HashMap::new(),
        }
    }

    /// Chooses the service for the route's next request.
    pub fn next(&mut self, rule: &RouteRule) -> ServiceName {
        if let [single] = rule.split.as_slice() {
            return single.service.clone();
        }
        let cycles = self.cycles.entry(rule.name.clone()).or_default();
        let known = cycles.iter().position(|cycle| cycle.split == rule.split);
        let at = known.unwrap_or_else(|| {
            cycles.push(SplitCycle::new(&rule.split, self.phase));
            cycles.len() - 1
        });
        cycles[at].advance().service.clone()
    }

    /// Clears the state of all routes, for a new configuration.
    pub fn reset(&mut self) {
        self.cycles.clear();
    }
}

impl SplitCycle {
    /// Starts at the point of the cycle that `phase` tells.
    fn new(split: &[SplitPart], phase: f64) -> Self {
        let mut cycle = Self {
            split: split.to_vec(),
            current_weights: vec![0; split.len()],
        };
        let requests = split
            .iter()
            .fold(0_u32, |sum, part| sum.saturating_add(part.weight));
        let skipped = phase * f64::from(requests.min(MAX_SKIPPED));
        for _ in 0..skipped as u32 {
            cycle.advance();
        }
        cycle
    }

    /// Chooses the next part.
    fn advance(&mut self) -> &SplitPart {
        let total: i64 = self.split.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (index, part) in self.split.iter().enumerate() {
            self.current_weights[index] += i64::from(part.weight);
            if self.current_weights[index] > self.current_weights[best] {
                best = index;
            }
        }
        self.current_weights[best] -= total;
        &self.split[best]
    }
}
