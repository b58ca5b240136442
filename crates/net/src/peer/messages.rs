//! Message types, encoded with bincode.

use {
    super::MapDelta,
    camphorcove_core::{
        conf::{OperatorOrders, RegionConfig, RequestClass},
        control::HostInfo,
        ids::{ConfigVersion, FencingToken, HostId, RequestId, ServerId, ServiceName, ShardId},
        map::{MapVersion, RoutingMap},
    },
    std::net::SocketAddr,
};

/// Where a host's peer port listens.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PeerAddress {
    /// Host with its availability zone.
    pub host: HostInfo,
    /// Address of its peer port.
    pub peer: SocketAddr,
}

/// Asks a peer for newer maps and configuration.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapPoll {
    /// Who asks.
    pub from: PeerAddress,
    /// Scopes asked for, with the versions held; the answer covers no others.
    pub held: Vec<(ServiceName, MapVersion)>,
    /// Oldest versions that hosts behind the asking host may still use, where
    /// older than its own.
    pub floors: Vec<(ServiceName, MapVersion)>,
    /// Configuration version held.
    pub config: ConfigVersion,
    /// The asking host is a relay; other hosts count as behind the answering host.
    pub relay: bool,
    /// Digest of the host list held; 0 for none.
    pub hosts: u64,
    /// Digest of `downstream`.
    pub downstream_digest: u64,
    /// Hosts behind the asking relay; absent if the answerer has them.
    pub downstream: Option<Vec<PeerAddress>>,
    /// Answer at once instead of waiting for news.
    pub urgent: bool,
    /// Requests by shard since the last such report; of the busiest shards only.
    pub loads: Vec<(ServiceName, Vec<(ShardId, u32)>)>,
}

/// How a newer map reaches a poller.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum MapUpdate {
    /// The poller has the version already.
    Same,
    /// The whole map.
    Whole(Box<RoutingMap>),
    /// Changes since the version that the poller holds.
    Delta(MapDelta),
}

/// What a peer holds of one scope.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ScopeAnswer {
    /// Scope.
    pub service: ServiceName,
    /// Version held by the answering peer.
    pub version: MapVersion,
    /// Validity left, in microseconds, counted by the poller from before it sent the poll.
    pub remaining_micros: u64,
    /// How the poller gets this version from the one that it holds.
    pub map_update: MapUpdate,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ConfigSnapshot {
    /// Version.
    pub version: ConfigVersion,
    /// Content.
    pub config: RegionConfig,
    /// Orders in force.
    pub orders: OperatorOrders,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapAnswer {
    /// Who answers.
    pub from: PeerAddress,
    /// Scopes whose map the peer holds and may pass on.
    pub scopes: Vec<ScopeAnswer>,
    /// Configuration, if the poller's is older.
    pub config: Option<Box<ConfigSnapshot>>,
    /// Digest of the hosts that the peer knows to be live.
    pub hosts_digest: u64,
    /// Those hosts, if the poller's digest differs.
    pub hosts: Option<Vec<PeerAddress>>,
    /// The peer lacks the poller's downstream hosts; send them with the next poll.
    pub want_downstream: bool,
}

/// Asks a host for its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct StatusRequest;

/// State of a host, for operators.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct StatusAnswer {
    /// The host.
    pub from: PeerAddress,
    /// Configuration it uses.
    pub config: ConfigVersion,
    /// Scopes with the map held and the validity left, in microseconds.
    pub scopes: Vec<(ServiceName, MapVersion, u64)>,
    /// Scopes it controls.
    pub controls: Vec<ServiceName>,
}

/// Travels with a caller's request from the entry host to the forwarder.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ForwardEnvelope {
    /// Entry host.
    pub from: HostId,
    /// Service.
    pub service: ServiceName,
    /// Shard, for keyed services.
    pub shard: Option<ShardId>,
    /// Token of the owner, for keyed services.
    pub token: Option<FencingToken>,
    /// Server the request is for.
    pub server: ServerId,
    /// Map the decision was made from.
    pub map: MapVersion,
    /// Time left for the request, in microseconds.
    pub remaining_micros: u64,
    /// Priority class.
    pub class: RequestClass,
    /// Correlates log lines.
    pub request: RequestId,
    /// Idempotency key given by the caller.
    pub idempotency: Option<String>,
}
