//! What changed between two versions of a routing map.
//!
//! A map of 4,096 shards takes about 28 kB, and most versions change a few
//! shards or one server.

use camphorcove_core::{
    ids::{ConfigVersion, HostId, ShardId},
    map::{MapVersion, RoutingMap, ServerEntry, ShardEntry},
};

/// Changes from one version of a map to a newer one.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapDelta {
    base: MapVersion,
    version: MapVersion,
    config: ConfigVersion,
    controller: HostId,
    /// All servers, if any of them changed.
    servers: Option<Vec<ServerEntry>>,
    shards: Vec<(ShardId, ShardEntry)>,
}

impl MapDelta {
    /// Changes from `base` to `next`; `None` if a whole map is as good.
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
        let worthwhile = shards.len() < next.shards.len() / 2 || next.shards.is_empty();
        worthwhile.then(|| Self {
            base: base.version,
            version: next.version,
            config: next.config,
            controller: next.controller.clone(),
            servers: (base.servers != next.servers).then(|| next.servers.clone()),
            shards,
        })
    }

    /// Version that the changes lead to.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// The newer map; `None` if `base` is not the version the changes start from.
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
