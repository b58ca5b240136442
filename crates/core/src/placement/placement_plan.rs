//! Planning of first owners and of moves.

use {
    super::{
        PlacementInput, ShardPlacement,
        rebalance::{LoadPlan, plan_rebalance},
    },
    crate::{ids::ShardId, scope::MoveReason},
    std::collections::BTreeSet,
};

/// A join fills a server that holds less than this share of its quota, in percent.
const UNDERFILLED_PERCENT: usize = 50;

/// A shard that should move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// Shard.
    pub shard: ShardId,
    /// Index of the server to move to.
    pub to: usize,
    /// Why.
    pub reason: MoveReason,
}

/// Picks an owner for each unowned shard; empty if no server is eligible.
pub fn assign_unowned(input: &PlacementInput<'_>) -> Vec<(ShardId, usize)> {
    let mut room = RoomTable::new(input);
    let mut assigned = Vec::new();
    for (index, place) in input.shards.iter().enumerate() {
        if *place != ShardPlacement::Unowned {
            continue;
        }
        let shard = shard_id(index);
        let Some(server) = eligible_pin(input, shard).or_else(|| room.emptiest()) else {
            continue;
        };
        room.add(server);
        assigned.push((shard, server));
    }
    assigned
}

/// Plans at most `limit` moves, the most urgent reasons first.
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

/// Servers that hold so few shards that they count as newly joined.
pub(crate) fn underfilled(input: &PlacementInput<'_>) -> Vec<usize> {
    let counts = input.counts();
    let quotas = input.quotas();
    // A server that was cleared for a hot key has few shards and enough load.
    let plan = LoadPlan::new(input);
    (0..input.servers.len())
        .filter(|&server| input.servers[server].eligible && plan.is_below_mean(server))
        .filter(|&server| counts[server] * 100 < quotas[server] * UNDERFILLED_PERCENT)
        .collect()
}

/// Servers that hold at least their quota.
pub(crate) fn filled(input: &PlacementInput<'_>) -> Vec<usize> {
    let counts = input.counts();
    let quotas = input.quotas();
    (0..input.servers.len())
        .filter(|&server| counts[server] >= quotas[server])
        .collect()
}

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

fn plan_drains(input: &PlacementInput<'_>, moves: &mut Vec<PlannedMove>) {
    let mut room = RoomTable::new(input);
    let planned = planned_shards(moves);
    for (index, place) in input.shards.iter().enumerate() {
        let ShardPlacement::Owned(from) = *place else {
            continue;
        };
        let shard = shard_id(index);
        if !input.servers[from].draining || planned.contains(&shard) {
            continue;
        }
        let Some(to) = room.emptiest() else {
            return;
        };
        room.add(to);
        moves.push(PlannedMove {
            shard,
            to,
            reason: MoveReason::Drain,
        });
    }
}

fn plan_joins(input: &PlacementInput<'_>, joining: &[usize], moves: &mut Vec<PlannedMove>) {
    let quotas = input.quotas();
    let mut counts = input.counts();
    let planned = planned_shards(moves);
    let mut owned: Vec<Vec<usize>> = vec![Vec::new(); input.servers.len()];
    for (index, place) in input.shards.iter().enumerate() {
        let ShardPlacement::Owned(server) = *place else {
            continue;
        };
        let taken = planned.contains(&shard_id(index));
        if !taken && !input.pins.contains_key(&shard_id(index)) {
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

fn eligible_pin(input: &PlacementInput<'_>, shard: ShardId) -> Option<usize> {
    let server = *input.pins.get(&shard)?;
    input.servers.get(server)?.eligible.then_some(server)
}

pub(super) fn shard_id(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Shards and weights of the eligible servers.
struct RoomTable {
    rows: Vec<(usize, u64, u64)>,
}

impl RoomTable {
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

    /// Server with the fewest shards for its weight once it has one more.
    fn emptiest(&self) -> Option<usize> {
        let row = self.rows.iter().min_by(|left, right| {
            let left_size = (left.1 + 1) * right.2;
            let right_size = (right.1 + 1) * left.2;
            left_size.cmp(&right_size).then(left.0.cmp(&right.0))
        })?;
        Some(row.0)
    }

    fn add(&mut self, server: usize) {
        for row in &mut self.rows {
            if row.0 == server {
                row.1 += 1;
            }
        }
    }
}
