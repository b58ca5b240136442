//! Rebalancing by measured load.

use {
    super::{
        PlacementInput, ShardPlacement,
        placement_plan::{PlannedMove, shard_id},
    },
    crate::{conf::PlacementGoal, scope::MoveReason},
};

/// Share by which a server must exceed the mean before its shards move, by goal.
const AVAILABILITY_THRESHOLD: f64 = 0.15;
const CHURN_THRESHOLD: f64 = 0.40;

/// Load of servers while moves are planned.
pub(super) struct LoadPlan<'a> {
    input: &'a PlacementInput<'a>,
    loads: Vec<f64>,
    movable: Vec<Vec<usize>>,
    /// Load by weight that each server should have; see `fair_use`.
    mean: f64,
}

/// Plans moves away from servers whose load exceeds the mean by the goal's threshold.
///
/// Planning stops at half the threshold, so that small changes of load start no new moves.
pub(super) fn plan_rebalance(input: &PlacementInput<'_>, limit: usize) -> Vec<PlannedMove> {
    let threshold = match input.goal {
        PlacementGoal::Availability => AVAILABILITY_THRESHOLD,
        PlacementGoal::Churn => CHURN_THRESHOLD,
    };
    let mut plan = LoadPlan::new(input);
    let mut moves = Vec::new();
    let overloaded = plan.servers_above(1.0 + threshold);
    for from in overloaded {
        while moves.len() < limit && plan.use_of(from) > plan.mean * (1.0 + threshold / 2.0) {
            let Some(planned) = plan.best_move(from) else {
                break;
            };
            plan.apply(from, &planned);
            moves.push(planned);
        }
    }
    moves
}

impl<'a> LoadPlan<'a> {
    pub(super) fn new(input: &'a PlacementInput<'a>) -> Self {
        let mut loads = vec![0.0; input.servers.len()];
        let mut movable = vec![Vec::new(); input.servers.len()];
        for (index, place) in input.shards.iter().enumerate() {
            match *place {
                ShardPlacement::Unowned => {}
                ShardPlacement::Fixed(server) => loads[server] += input.load.of(index),
                ShardPlacement::Owned(server) => {
                    loads[server] += input.load.of(index);
                    if !input.pins.contains_key(&shard_id(index)) {
                        movable[server].push(index);
                    }
                }
            }
        }
        let mut plan = Self {
            input,
            loads,
            movable,
            mean: 0.0,
        };
        plan.mean = plan.fair_use();
        plan.sort_movable();
        plan
    }

    fn sort_movable(&mut self) {
        let load = self.input.load;
        for shards in &mut self.movable {
            shards.sort_by(|left, right| load.of(*right).total_cmp(&load.of(*left)));
        }
    }

    /// Mean load by weight of the servers that hold no shard too hot for them.
    ///
    /// A server with such a shard keeps only that shard. Its load must not
    /// raise the mean, or the others would be allowed to be uneven.
    fn fair_use(&self) -> f64 {
        let mut mean = self.mean_without(&[]);
        let mut hot = Vec::new();
        for _ in 0..self.loads.len() {
            let next = self.hottest_shards(mean);
            if next.len() == hot.len() || next.len() == self.eligible().count() {
                break;
            }
            mean = self.mean_without(&next);
            hot = next;
        }
        mean
    }

    /// Eligible servers with a shard above `mean`, and that shard's load.
    fn hottest_shards(&self, mean: f64) -> Vec<(usize, f64)> {
        let mut hottest = vec![0.0; self.loads.len()];
        for (index, place) in self.input.shards.iter().enumerate() {
            if let ShardPlacement::Owned(server) | ShardPlacement::Fixed(server) = *place {
                let load = self.input.load.of(index);
                hottest[server] = f64::max(hottest[server], load);
            }
        }
        self.eligible()
            .filter(|&server| hottest[server] / self.weight(server) > mean)
            .map(|server| (server, hottest[server]))
            .collect()
    }

    fn mean_without(&self, hot: &[(usize, f64)]) -> f64 {
        let mut load: f64 = self.eligible().map(|server| self.loads[server]).sum();
        let mut weight: f64 = self.eligible().map(|server| self.weight(server)).sum();
        for (server, shard_load) in hot {
            load -= shard_load;
            weight -= self.weight(*server);
        }
        if weight > 0.0 { load / weight } else { 0.0 }
    }

    /// Whether a server has less than its fair load.
    pub(super) fn is_below_mean(&self, server: usize) -> bool {
        self.use_of(server) < self.mean
    }

    fn eligible(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.loads.len()).filter(|&server| self.input.servers[server].eligible)
    }

    fn weight(&self, server: usize) -> f64 {
        f64::from(self.input.servers[server].weight.max(1))
    }

    fn use_of(&self, server: usize) -> f64 {
        self.loads[server] / self.weight(server)
    }

    fn servers_above(&self, factor: f64) -> Vec<usize> {
        let mut servers: Vec<usize> = self
            .eligible()
            .filter(|&server| self.use_of(server) > self.mean * factor)
            .collect();
        servers.sort_by(|left, right| self.use_of(*right).total_cmp(&self.use_of(*left)));
        servers
    }

    /// The largest shard whose move lowers the higher of the two servers' use.
    ///
    /// A shard that alone exceeds a server's fair share stays: it would only
    /// carry the overload to another server.
    fn best_move(&self, from: usize) -> Option<PlannedMove> {
        let to = self
            .eligible()
            .filter(|&server| server != from)
            .min_by(|left, right| self.use_of(*left).total_cmp(&self.use_of(*right)))?;
        let before = self.use_of(from);
        for &index in &self.movable[from] {
            let load = self.input.load.of(index);
            if load / self.weight(from) > self.mean {
                continue;
            }
            if (self.loads[to] + load) / self.weight(to) < before {
                return Some(PlannedMove {
                    shard: shard_id(index),
                    to,
                    reason: MoveReason::Balance,
                });
            }
        }
        None
    }

    fn apply(&mut self, from: usize, planned: &PlannedMove) {
        let index = planned.shard.0 as usize;
        let load = self.input.load.of(index);
        self.loads[from] -= load;
        self.loads[planned.to] += load;
        self.movable[from].retain(|&shard| shard != index);
    }
}
