//! Assigns unowned shards and plans moves of owned ones.

use {
    super::{
        PlacementInput, ShardPlacement,
        rebalance::{PlannedLoads, plan_rebalance},
    },
    crate::{ids::ShardId, scope::MoveReason},
    std::collections::BTreeSet,
};

/// A server that owns less than this percentage of its quota is filled like a newly joined one.
const UNDERFILLED_PERCENT: usize = 50;

/// A planned move of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// Shard to move.
    pub shard: ShardId,
    /// Index of the target server in [`PlacementInput::servers`].
    pub to: usize,
    /// Why the shard moves.
    pub reason: MoveReason,
}

/// Chooses an owner for each unowned shard. Returns nothing if no server is eligible.
///
/// A pinned shard goes to its pinned server if that one is eligible.
pub fn assign_unowned(input: &PlacementInput<'_>) -> Vec<(ShardId, usize)> {
    let mut shard_counts = ShardCounts::new(input);
    let mut assigned = Vec::new();
    for (index, placement) in input.shards.iter().enumerate() {
        if *placement != ShardPlacement::Unowned {
            continue;
        }
        let shard = shard_id(index);
        let Some(server) = eligible_pin(input, shard).or_else(|| shard_counts.least_filled())
        else {
            continue;
        };
        shard_counts.add_shard(server);
        assigned.push((shard, server));
    }
    assigned
}

/// Plans at most `limit` moves: first pins, then drains, then joins.
///
/// `joining` lists the servers to fill up to their quota. If none of these reasons asks for a
/// move and `balance` is set, shards move from overloaded to less loaded servers.
pub fn plan_moves(
    input: &PlacementInput<'_>,
    joining: &[usize],
    balance: bool,
    limit: usize,
) -> Vec<PlannedMove> {
    let mut moves = plan_pins(input);
    plan_drains(input, &mut moves);
    plan_joins(input, joining, &mut moves);
    if moves.is_empty() && balance {
        moves = plan_rebalance(input, limit);
    }
    moves.truncate(limit);
    moves
}

/// Eligible servers that own so few shards that they are filled like newly joined ones.
pub(crate) fn servers_below_quota(input: &PlacementInput<'_>) -> Vec<usize> {
    let counts = input.counts();
    let quotas = input.quotas();
    // A server left with little but a hot shard owns few shards but has enough load.
    let loads = PlannedLoads::new(input);
    (0..input.servers.len())
        .filter(|&server| input.servers[server].eligible && loads.is_below_target(server))
        .filter(|&server| counts[server] * 100 < quotas[server] * UNDERFILLED_PERCENT)
        .collect()
}

/// Servers that own at least their quota of shards.
pub(crate) fn servers_at_quota(input: &PlacementInput<'_>) -> Vec<usize> {
    let counts = input.counts();
    let quotas = input.quotas();
    (0..input.servers.len())
        .filter(|&server| counts[server] >= quotas[server])
        .collect()
}

/// Moves each pinned shard to its pinned server.
fn plan_pins(input: &PlacementInput<'_>) -> Vec<PlannedMove> {
    let mut moves = Vec::new();
    for &shard in input.pins.keys() {
        let Some(to) = eligible_pin(input, shard) else {
            continue;
        };
        let Some(ShardPlacement::Owned(from)) = input.shards.get(shard.0 as usize) else {
            continue;
        };
        if *from != to {
            moves.push(PlannedMove {
                shard,
                to,
                reason: MoveReason::Pin,
            });
        }
    }
    moves
}

/// Moves the shards of draining servers to the least filled servers.
fn plan_drains(input: &PlacementInput<'_>, moves: &mut Vec<PlannedMove>) {
    let mut shard_counts = ShardCounts::new(input);
    let planned = planned_shards(moves);
    for (index, placement) in input.shards.iter().enumerate() {
        let ShardPlacement::Owned(from) = *placement else {
            continue;
        };
        let shard = shard_id(index);
        if !input.servers[from].draining || planned.contains(&shard) {
            continue;
        }
        let Some(to) = shard_counts.least_filled() else {
            return;
        };
        shard_counts.add_shard(to);
        moves.push(PlannedMove {
            shard,
            to,
            reason: MoveReason::Drain,
        });
    }
}

/// Fills each joining server up to its quota with shards of servers above theirs.
///
/// Shards that are pinned or already in `moves` stay.
fn plan_joins(input: &PlacementInput<'_>, joining: &[usize], moves: &mut Vec<PlannedMove>) {
    let quotas = input.quotas();
    let mut counts = input.counts();
    let planned = planned_shards(moves);
    let mut owned: Vec<Vec<usize>> = vec![Vec::new(); input.servers.len()];
    for (index, placement) in input.shards.iter().enumerate() {
        let ShardPlacement::Owned(server) = *placement else {
            continue;
        };
        let is_planned = planned.contains(&shard_id(index));
        if !is_planned && !input.pins.contains_key(&shard_id(index)) {
            owned[server].push(index);
        }
    }
    for &to in joining {
        if !input.servers[to].eligible {
            continue;
        }
        while counts[to] < quotas[to] {
            let Some(from) = fullest_above_quota(input, &counts, &quotas, &owned) else {
                break;
            };
            let Some(index) = owned[from].pop() else {
                break;
            };
            counts[from] -= 1;
            counts[to] += 1;
            moves.push(PlannedMove {
                shard: shard_id(index),
                to,
                reason: MoveReason::Join,
            });
        }
    }
}

fn planned_shards(moves: &[PlannedMove]) -> BTreeSet<ShardId> {
    moves.iter().map(|planned| planned.shard).collect()
}

/// Eligible server with the most shards above its quota, among those with shards left in `owned`.
fn fullest_above_quota(
    input: &PlacementInput<'_>,
    counts: &[usize],
    quotas: &[usize],
    owned: &[Vec<usize>],
) -> Option<usize> {
    (0..input.servers.len())
        .filter(|&server| input.servers[server].eligible)
        .filter(|&server| counts[server] > quotas[server] && !owned[server].is_empty())
        .max_by_key(|&server| (counts[server] - quotas[server], usize::MAX - server))
}

/// Server that a shard is pinned to, if that server is eligible.
fn eligible_pin(input: &PlacementInput<'_>, shard: ShardId) -> Option<usize> {
    let server = *input.pins.get(&shard)?;
    input.servers.get(server)?.eligible.then_some(server)
}

pub(super) fn shard_id(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Index, number of shards and weight of each eligible server.
struct ShardCounts {
    rows: Vec<(usize, u64, u64)>,
}

impl ShardCounts {
    fn new(input: &PlacementInput<'_>) -> Self {
        let counts = input.counts();
        let rows = (0..input.servers.len())
            .filter(|&server| input.servers[server].eligible)
            .map(|server| {
                let weight = u64::from(input.servers[server].weight.max(1));
                (server, counts[server] as u64, weight)
            })
            .collect();
        Self { rows }
    }

    /// Server that would have the fewest shards per weight after receiving one more.
    fn least_filled(&self) -> Option<usize> {
        let row = self.rows.iter().min_by(|left, right| {
            let left_fill = (left.1 + 1) * right.2;
            let right_fill = (right.1 + 1) * left.2;
            left_fill.cmp(&right_fill).then(left.0.cmp(&right.0))
        })?;
        Some(row.0)
    }

    fn add_shard(&mut self, server: usize) {
        for row in &mut self.rows {
            if row.0 == server {
                row.1 += 1;
            }
        }
    }
}
