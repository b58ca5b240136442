//! The routing map of one service.

use {
    super::MapVersion,
    crate::{
        ids::{ConfigVersion, FencingToken, HostId, ServerId, ServiceName, ShardId, ZoneName},
        keys::{KeyHash, shard_of},
    },
    std::net::SocketAddr,
};

/// Whether a backend server is usable, as its controller last found it.
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
    /// Renewals of its grant succeed, and it takes requests and shards.
    Ready,
    /// Renewals succeed, but it takes no new shards and no new requests of an unkeyed service.
    Draining,
    /// At least one renewal failed since the last success.
    Suspect,
    /// Its grant lapsed without a successful renewal, or it was never reached.
    Lost,
}

/// One backend server in a routing map.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: ServerId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Relative speed; 100 is normal.
    pub weight: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Decides whether it receives requests and shards.
    pub phase: ServerPhase,
    /// Host that holds the connections to it and sends it all requests; `None` while there is none.
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
    /// Index of the owner in [`RoutingMap::servers`]; `None` while the shard is unowned.
    pub owner: Option<u16>,
    /// Token of the owner's grant.
    pub token: FencingToken,
    /// A planned move is in progress; requests wait for the next map.
    pub moving: bool,
}

/// Owner of each shard and forwarder of each server, as published by the service's controller.
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
    /// Backend servers of the service.
    pub servers: Vec<ServerEntry>,
    /// Shards, indexed by shard id; empty for an unkeyed service.
    pub shards: Vec<ShardEntry>,
}

impl RoutingMap {
    /// Shard of a key, or `None` for an unkeyed service.
    pub fn shard(&self, key: &[u8]) -> Option<ShardId> {
        let count = u32::try_from(self.shards.len()).ok()?;
        (count > 0).then(|| shard_of(KeyHash::of(key), count))
    }

    /// Entry of a shard; `None` if the map has no such shard.
    pub fn entry(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(usize::try_from(shard.0).ok()?)
    }

    /// Server that owns a shard; `None` while it is unowned.
    pub fn owner(&self, shard: ShardId) -> Option<&ServerEntry> {
        let index = self.entry(shard)?.owner?;
        self.servers.get(usize::from(index))
    }

    /// Server with this id.
    pub fn server(&self, id: &ServerId) -> Option<&ServerEntry> {
        self.servers.iter().find(|server| server.id == *id)
    }
}
