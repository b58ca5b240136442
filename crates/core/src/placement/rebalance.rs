//! Plans moves that even out the measured load of servers.

use {
    super::{
        PlacementInput, ShardPlacement,
        placement_plan::{PlannedMove, shard_id},
    },
    crate::{conf::PlacementGoal, scope::MoveReason},
};

/// Fraction by which a server's load per weight must exceed the target before its shards move,
/// for each goal.
const AVAILABILITY_THRESHOLD: f64 = 0.15;
const CHURN_THRESHOLD: f64 = 0.40;

/// Server loads as they will be once the moves planned so far are done.
pub(super) struct PlannedLoads<'a> {
    input: &'a PlacementInput<'a>,
    /// Load of each server in requests per second.
    loads: Vec<f64>,
    /// Shards of each server that may move, highest load first.
    movable: Vec<Vec<usize>>,
    /// Load per weight that each server should have; see `balanced_load`.
    target: f64,
}

/// Plans moves away from servers whose load per weight exceeds the target by the goal's threshold.
///
/// Moves continue until the excess is half the threshold (hysteresis), so that a small change of
/// load does not start new moves.
pub(super) fn plan_rebalance(input: &PlacementInput<'_>, limit: usize) -> Vec<PlannedMove> {
    let threshold = match input.goal {
        PlacementGoal::Availability => AVAILABILITY_THRESHOLD,
        PlacementGoal::Churn => CHURN_THRESHOLD,
    };
    let mut planned_loads = PlannedLoads::new(input);
    let mut moves = Vec::new();
    let overloaded = planned_loads.servers_above(1.0 + threshold);
    for from in overloaded {
        while moves.len() < limit
            && planned_loads.load_per_weight(from) > planned_loads.target * (1.0 + threshold / 2.0)
        {
            let Some(planned) = planned_loads.best_move(from) else {
                break;
            };
            planned_loads.apply(from, &planned);
            moves.push(planned);
        }
    }
    moves
}

impl<'a> PlannedLoads<'a> {
    pub(super) fn new(input: &'a PlacementInput<'a>) -> Self {
        let mut loads = vec![0.0; input.servers.len()];
        let mut movable = vec![Vec::new(); input.servers.len()];
        for (index, placement) in input.shards.iter().enumerate() {
            match *placement {
                ShardPlacement::Unowned => {}
                ShardPlacement::Fixed(server) => loads[server] += input.load.load_of(index),
                ShardPlacement::Owned(server) => {
                    loads[server] += input.load.load_of(index);
                    if !input.pins.contains_key(&shard_id(index)) {
                        movable[server].push(index);
                    }
                }
            }
        }
        let mut planned_loads = Self {
            input,
            loads,
            movable,
            target: 0.0,
        };
        planned_loads.target = planned_loads.balanced_load();
        planned_loads.sort_movable();
        planned_loads
    }

    fn sort_movable(&mut self) {
        let load = self.input.load;
        for shards in &mut self.movable {
            shards.sort_by(|left, right| load.load_of(*right).total_cmp(&load.load_of(*left)));
        }
    }

    /// Mean load per weight of the other servers once each hot shard has a server to itself.
    ///
    /// A shard is hot if it alone loads its server above the mean. The shard and its server are
    /// left out of the mean: they would raise it, and the other servers could then be uneven
    /// without exceeding the threshold. A lower mean may reveal further hot shards, so this
    /// repeats until no more are found or all eligible servers have one.
    fn balanced_load(&self) -> f64 {
        let mut mean = self.mean_excluding(&[]);
        let mut hot = Vec::new();
        for _ in 0..self.loads.len() {
            let next = self.hot_servers(mean);
            if next.len() == hot.len() || next.len() == self.eligible().count() {
                break;
            }
            mean = self.mean_excluding(&next);
            hot = next;
        }
        mean
    }

    /// Eligible servers with a shard whose load per weight exceeds `mean`, with that shard's load.
    fn hot_servers(&self, mean: f64) -> Vec<(usize, f64)> {
        let mut hottest = vec![0.0; self.loads.len()];
        for (index, placement) in self.input.shards.iter().enumerate() {
            if let ShardPlacement::Owned(server) | ShardPlacement::Fixed(server) = *placement {
                let load = self.input.load.load_of(index);
                hottest[server] = f64::max(hottest[server], load);
            }
        }
        self.eligible()
            .filter(|&server| hottest[server] / self.weight(server) > mean)
            .map(|server| (server, hottest[server]))
            .collect()
    }

    fn mean_excluding(&self, hot: &[(usize, f64)]) -> f64 {
        let mut load: f64 = self.eligible().map(|server| self.loads[server]).sum();
        let mut weight: f64 = self.eligible().map(|server| self.weight(server)).sum();
        for (server, shard_load) in hot {
            load -= shard_load;
            weight -= self.weight(*server);
        }
        if weight > 0.0 { load / weight } else { 0.0 }
    }

    /// Whether a server's load per weight is below the target.
    pub(super) fn is_below_target(&self, server: usize) -> bool {
        self.load_per_weight(server) < self.target
    }

    fn eligible(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.loads.len()).filter(|&server| self.input.servers[server].eligible)
    }

    fn weight(&self, server: usize) -> f64 {
        f64::from(self.input.servers[server].weight.max(1))
    }

    fn load_per_weight(&self, server: usize) -> f64 {
        self.loads[server] / self.weight(server)
    }

    fn servers_above(&self, factor: f64) -> Vec<usize> {
        let mut servers: Vec<usize> = self
            .eligible()
            .filter(|&server| self.load_per_weight(server) > self.target * factor)
            .collect();
        servers.sort_by(|left, right| {
            self.load_per_weight(*right)
                .total_cmp(&self.load_per_weight(*left))
        });
        servers
    }

    /// Moves the largest suitable shard of `from` to the least loaded other server.
    ///
    /// A shard is suitable if the receiving server ends up below the present load per weight of
    /// `from`. A shard that alone exceeds the target stays, since moving it would only
    /// overload the other server.
    fn best_move(&self, from: usize) -> Option<PlannedMove> {
        let to = self
            .eligible()
            .filter(|&server| server != from)
            .min_by(|left, right| {
                self.load_per_weight(*left)
                    .total_cmp(&self.load_per_weight(*right))
            })?;
        let before = self.load_per_weight(from);
        for &index in &self.movable[from] {
            let load = self.input.load.load_of(index);
            if load / self.weight(from) > self.target {
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
        let load = self.input.load.load_of(index);
        self.loads[from] -= load;
        self.loads[planned.to] += load;
        self.movable[from].retain(|&shard| shard != index);
    }
}
