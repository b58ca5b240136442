//! The routing map of one scope.

use {
    super::MapVersion,
    crate::{
        ids::{ConfigVersion, FencingToken, HostId, ServerId, ServiceName, ShardId, ZoneName},
        keys::{KeyHash, shard_of},
    },
    std::net::SocketAddr,
};

/// Phase of a backend server, as routing sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServerPhase {
    /// Renewals succeed and it takes work.
    Ready,
    /// Renewals succeed; it takes no new shards and no new free requests.
    Draining,
    /// At least one renewal failed.
    Suspect,
    /// Its grant has lapsed without a success, or it was never reached.
    Lost,
}

/// One backend server in a routing map.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct ServerEntry {
    /// Server's id.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Relative speed; 100 is ordinary.
    pub weight: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Its phase.
    pub phase: ServerPhase,
    /// Host that holds its connections.
    pub forwarder: Option<HostId>,
}

/// One shard in a routing map.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct ShardEntry {
    /// Index of the owner in the map's servers.
    pub owner: Option<u16>,
    /// Token of the owner's grant.
    pub token: FencingToken,
    /// A planned move is under way; requests wait for the next map.
    pub moving: bool,
}

/// Routing map of one scope.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct RoutingMap {
    /// Service the map is for.
    pub service: ServiceName,
    /// Version; a host never replaces a map by an older one.
    pub version: MapVersion,
    /// Configuration the map was made from.
    pub config: ConfigVersion,
    /// Host that published it.
    pub controller: HostId,
    /// Backend servers.
    pub servers: Vec<ServerEntry>,
    /// Shards by id; empty for a freely routed service.
    pub shards: Vec<ShardEntry>,
}

impl RoutingMap {
    /// Shard of a key, or `None` for a freely routed service.
    pub fn shard(&self, key: &[u8]) -> Option<ShardId> {
        let count = u32::try_from(self.shards.len()).ok()?;
        (count > 0).then(|| shard_of(KeyHash::of(key), count))
    }

    /// Entry of a shard.
    pub fn entry(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(usize::try_from(shard.0).ok()?)
    }

    /// Owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<&ServerEntry> {
        let index = self.entry(shard)?.owner?;
        self.servers.get(usize::from(index))
    }

    /// Server of an id.
    pub fn server(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.servers.iter().find(|server| server.id == *id)
    }
}
