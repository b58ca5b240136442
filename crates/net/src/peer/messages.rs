//! Types of the messages between hosts, encoded with bincode.
//!
//! bincode encodes by position, so the order of fields and variants is part of the
//! protocol.
//!
//! Hosts poll for maps and configuration. A map covers one scope; there is one scope
//! per service, and one host at a time is its controller. In a large region only some
//! hosts, the relays, poll the controllers. The other hosts poll a relay and are its
//! downstream hosts.

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

/// A host and the address of its peer port.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct PeerAddress {
    /// Host with its availability zone.
    pub host: HostInfo,
    /// Address that its peer port listens on.
    pub peer: SocketAddr,
}

/// Requests newer maps and configuration from a peer.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapPoll {
    /// Polling host.
    pub from: PeerAddress,
    /// Requested scopes with the map versions that the polling host has. The response
    /// covers no other scopes.
    pub held: Vec<(ServiceName, MapVersion)>,
    /// Oldest map versions that downstream hosts may still use, for the scopes where
    /// they are older than the polling host's own.
    pub oldest_versions: Vec<(ServiceName, MapVersion)>,
    /// Configuration version that the polling host has.
    pub config: ConfigVersion,
    /// Whether the polling host is a relay. Hosts that are not relays count as downstream
    /// hosts of the polled one.
    pub relay: bool,
    /// Digest of the polling host's list of live hosts; 0 if it has none.
    pub live_hosts_digest: u64,
    /// Digest of the list of the polling relay's downstream hosts.
    pub downstream_digest: u64,
    /// Downstream hosts of the polling relay; absent if the polled host has them already.
    pub downstream: Option<Vec<PeerAddress>>,
    /// Asks for an immediate response, instead of one when there is something newer.
    pub urgent: bool,
    /// Number of requests per shard since the last report, for the busiest shards only.
    pub loads: Vec<(ServiceName, Vec<(ShardId, u32)>)>,
}

/// The map in the response to a poll.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub enum MapUpdate {
    /// The polling host has this version already.
    Same,
    /// The whole map.
    Whole(Box<RoutingMap>),
    /// Changes since the version that the polling host has.
    Delta(MapDelta),
}

/// State of one scope in the response to a poll.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ScopeAnswer {
    /// Service that the scope belongs to.
    pub service: ServiceName,
    /// Map version of the polled host.
    pub version: MapVersion,
    /// Remaining validity of the map, in microseconds. The polling host counts it from
    /// before it sent the poll, so that it never overestimates it.
    pub remaining_micros: u64,
    /// The map itself, or its changes since the polling host's version.
    pub map_update: MapUpdate,
}

/// A complete configuration with the operators' orders in force.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services, servers and limits of the region.
    pub config: RegionConfig,
    /// Orders of operators that are in force.
    pub orders: OperatorOrders,
}

/// Response to a [`MapPoll`].
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct MapAnswer {
    /// Polled host.
    pub from: PeerAddress,
    /// Requested scopes of which the polled host has a map that it may pass on.
    pub scopes: Vec<ScopeAnswer>,
    /// Configuration, if the polling host's is older.
    pub config: Option<Box<ConfigSnapshot>>,
    /// Digest of the polled host's list of live hosts.
    pub hosts_digest: u64,
    /// That list, if the polling host's digest differs.
    pub hosts: Option<Vec<PeerAddress>>,
    /// The polled host does not have the polling relay's current downstream hosts and
    /// requests them with the next poll.
    pub downstream_requested: bool,
}

/// Requests the state of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct StatusRequest;

/// Response to a [`StatusRequest`]: the state of a host, shown to operators.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct StatusAnswer {
    /// The reporting host.
    pub from: PeerAddress,
    /// Configuration version that the host uses.
    pub config: ConfigVersion,
    /// Scopes with the host's map version and its remaining validity in microseconds.
    pub scopes: Vec<(ServiceName, MapVersion, u64)>,
    /// Scopes that the host is the controller of.
    pub controls: Vec<ServiceName>,
}

/// Routing decision, sent with a caller's request from the entry host, which received
/// it, to the forwarder, which sends it to the server.
#[derive(Clone, Debug, PartialEq, bincode::Encode, bincode::Decode)]
pub struct ForwardEnvelope {
    /// Entry host, which made the decision.
    pub from: HostId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Shard, for keyed services.
    pub shard: Option<ShardId>,
    /// Fencing token of the shard's owner, for keyed services.
    pub token: Option<FencingToken>,
    /// Server to send the request to.
    pub server: ServerId,
    /// Version of the map that the decision is based on.
    pub map: MapVersion,
    /// Time until the request's deadline, in microseconds.
    pub remaining_micros: u64,
    /// Priority class.
    pub class: RequestClass,
    /// Id of the request in the log lines of all hosts.
    pub request_id: RequestId,
    /// Idempotency key given by the caller.
    pub idempotency_key: Option<String>,
}
