//! Input of the placement planner.

use {
    super::LoadTable,
    crate::{conf::PlacementGoal, ids::ShardId},
    std::collections::BTreeMap,
};

/// A server as the placement planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementServer {
    /// Relative speed; a server of ordinary speed has 100.
    pub weight: u32,
    /// Whether the server may receive shards.
    pub eligible: bool,
    /// Whether the server's shards must move to other servers.
    pub draining: bool,
}

/// Current owner of a shard, as an index into [`PlacementInput::servers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPlacement {
    /// No server owns the shard, or its owner is lost.
    Unowned,
    /// The server owns the shard, and the shard may move.
    Owned(usize),
    /// The shard must not move now; it counts toward the load of this server.
    Fixed(usize),
}

/// Servers, shards and loads from which the planner computes owners and moves.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// Servers, in a stable order. Plans refer to servers by their index in this slice.
    pub servers: &'a [PlacementServer],
    /// Placement of each shard, indexed by shard id.
    pub shards: &'a [ShardPlacement],
    /// Shards that an operator pinned, with the index of the server to stay on.
    pub pins: &'a BTreeMap<ShardId, usize>,
    /// Measured load of each shard.
    pub load: &'a LoadTable,
    /// Whether to prefer short unavailability or few changes of owner.
    pub goal: PlacementGoal,
}

impl PlacementInput<'_> {
    /// Number of shards that each server owns.
    pub(super) fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.servers.len()];
        for placement in self.shards {
            match placement {
                ShardPlacement::Unowned => {}
                ShardPlacement::Owned(server) | ShardPlacement::Fixed(server) => {
                    counts[*server] += 1
                }
            }
        }
        counts
    }

    /// Number of shards that each eligible server should own, in proportion to its weight.
    ///
    /// Rounds by the largest remainder, so that the quotas add up to the number of shards.
    pub(super) fn quotas(&self) -> Vec<usize> {
        let total: u64 = self
            .servers
            .iter()
            .filter(|server| server.eligible)
            .map(|server| u64::from(server.weight.max(1)))
            .sum();
        let mut quotas = vec![0; self.servers.len()];
        if total == 0 {
            return quotas;
        }
        let mut remainders = Vec::new();
        let mut assigned = 0;
        for (index, server) in self.servers.iter().enumerate() {
            if !server.eligible {
                continue;
            }
            let product = self.shards.len() as u64 * u64::from(server.weight.max(1));
            quotas[index] = usize::try_from(product / total).unwrap_or(usize::MAX);
            assigned += quotas[index];
            remainders.push((product % total, index));
        }
        remainders.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
        for (_, index) in remainders.iter().take(self.shards.len() - assigned) {
            quotas[*index] += 1;
        }
        quotas
    }
}
