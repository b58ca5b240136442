//! What placement decides from.

use {
    super::LoadTable,
    crate::{conf::PlacementGoal, ids::ShardId},
    std::collections::BTreeMap,
};

/// A server that placement may use or must clear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementServer {
    /// Relative speed; 100 is ordinary.
    pub weight: u32,
    /// It may receive shards.
    pub eligible: bool,
    /// Its shards must move away.
    pub draining: bool,
}

/// Where a shard is, by index into the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPlacement {
    /// No server owns it, or its owner is lost.
    Unowned,
    /// Owned and free to move.
    Owned(usize),
    /// It stays for now; counts toward this server.
    Fixed(usize),
}

/// What placement decides from.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// Servers, in a stable order.
    pub servers: &'a [PlacementServer],
    /// Places of all shards.
    pub shards: &'a [ShardPlacement],
    /// Shards held at a server by an operator.
    pub pins: &'a BTreeMap<ShardId, usize>,
    /// Measured load.
    pub load: &'a LoadTable,
    /// What placement prefers.
    pub goal: PlacementGoal,
}

impl PlacementInput<'_> {
    /// Shards at each server.
    pub(super) fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.servers.len()];
        for place in self.shards {
            match place {
                ShardPlacement::Unowned => {}
                ShardPlacement::Owned(server) | ShardPlacement::Fixed(server) => {
                    counts[*server] += 1
                }
            }
        }
        counts
    }

    /// Shards each eligible server should hold, by weight; the sum is the number of shards.
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
