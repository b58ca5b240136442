//! Message types, encoded with bincode.

use {
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
    /// Versions held.
    pub held: Vec<(ServiceName, MapVersion)>,
    /// Configuration version held.
    pub config: ConfigVersion,
    /// Hosts that poll the asking host, for a relay.
    pub downstream: Vec<PeerAddress>,
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
    /// The map, if the poller's version is older.
    pub map: Option<Box<RoutingMap>>,
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
    /// Hosts the peer knows to be live.
    pub hosts: Vec<PeerAddress>,
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
