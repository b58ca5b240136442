//! Differences between two versions of a routing map.
//!
//! An encoded map of 4,096 shards takes about 28 kB, but most new versions change
//! only a few shards or one server, so hosts are sent the difference.

use camphorcove_core::{
    ids::{ConfigVersion, HostId, ShardId},
    map::{MapVersion, RoutingMap, ServerEntry, ShardEntry},
};

/// Changes that turn one version of a map into a newer one.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapDelta {
    base: MapVersion,
    version: MapVersion,
    config: ConfigVersion,
    controller: HostId,
    /// The new list of all servers, if any of them changed.
    servers: Option<Vec<ServerEntry>>,
    shards: Vec<(ShardId, ShardEntry)>,
}

impl MapDelta {
    /// Computes the changes from `base` to `next`. `None` if the whole map should be sent:
    /// service or number of shards differ, or at least half of the shards changed.
    pub fn between(base: &RoutingMap, next: &RoutingMap) -> Option<Self> {
        if base.service != next.service || base.shards.len() != next.shards.len() {
            return None;
        }
        let mut shards = Vec::new();
        for (pair, number) in base.shards.iter().zip(&next.shards).zip(0..) {
            let (old, new) = pair;
            if old != new {
                shards.push((ShardId(number), *new));
            }
        }
        let few_changes = shards.len() < next.shards.len() / 2 || next.shards.is_empty();
        few_changes.then(|| Self {
            base: base.version,
            version: next.version,
            config: next.config,
            controller: next.controller.clone(),
            servers: (base.servers != next.servers).then(|| next.servers.clone()),
            shards,
        })
    }

    /// Version of the map that [`apply`](Self::apply) returns.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Computes the newer map. `None` if `base` is not the version that the changes were
    /// computed from, or lacks a changed shard.
    pub fn apply(&self, base: &RoutingMap) -> Option<RoutingMap> {
        if base.version != self.base {
            return None;
        }
        let mut next = base.clone();
        next.version = self.version;
        next.config = self.config;
        next.controller = self.controller.clone();
        if let Some(servers) = &self.servers {
            next.servers = servers.clone();
        }
        for (shard, entry) in &self.shards {
            let index = usize::try_from(shard.0).ok()?;
            *next.shards.get_mut(index)? = *entry;
        }
        Some(next)
    }
}
