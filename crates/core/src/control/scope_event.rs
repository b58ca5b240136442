//! Events that the daemon reports to a scope's machine.

use {
    super::{OrderId, ServerFailure, ServerReply, WriteId},
    crate::{
        conf::ServiceConfig,
        election::PromiseReply,
        ids::{ConfigVersion, Epoch, HostId, ObjectVersion, ServerId, ShardId, ZoneName},
        map::{MapVersion, RoutingMap},
        scope::ScopeState,
        time::BootTime,
    },
    std::sync::Arc,
};

/// A live host of the region.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub struct HostInfo {
    /// Id of the host.
    pub id: HostId,
    /// Availability zone that the host runs in.
    pub zone: ZoneName,
    /// The host is shutting down and takes no new role.
    pub leaving: bool,
}

/// Configuration and operator orders that apply to a scope.
#[derive(Clone, Debug, PartialEq)]
pub struct ScopeSpec {
    /// Version of the configuration; older ones are ignored.
    pub version: ConfigVersion,
    /// Configuration of the service.
    pub service: ServiceConfig,
    /// Servers that an operator ordered to drain.
    pub drained: Vec<ServerId>,
    /// Shards that an operator pinned to a server.
    pub pins: Vec<(ShardId, ServerId)>,
}

/// Why a read of the scope object failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The platform did not answer in time or reported an outage.
    Unavailable,
}

/// Why a write of the scope object did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The object has another version; nothing was written.
    Conflict,
    /// The write was not sent and can never take effect.
    NotSent,
    /// The write may have taken effect.
    Unknown,
}

/// An event that the daemon reports to a scope's machine.
#[derive(Clone, Debug)]
pub enum ScopeEvent {
    /// Time has passed; sent about every 50 ms.
    Tick,
    /// The configuration changed.
    SpecChanged(Arc<ScopeSpec>),
    /// The list of live hosts, including this one, changed.
    ///
    /// A host is live while it polls for maps. For a host that is no longer listed, the
    /// machine itself waits until the host's last map has expired.
    HostsChanged(Vec<HostInfo>),
    /// Reports the map of the scope that this host holds, and the end of its validity.
    MapObserved {
        /// Term that the map was published in.
        epoch: Epoch,
        /// End of the map's validity on this host's clock.
        valid_until: BootTime,
        /// The map; a successor keeps its forwarders.
        map: Option<Arc<RoutingMap>>,
    },
    /// Every host holds this map version or a newer one, or its older map has expired.
    ///
    /// The event shortens planned moves at servers that check tokens. A request
    /// sent under an older map may still be in flight, and a server that does not
    /// check tokens would process it until its deadline.
    MapsReplaced(MapVersion),
    /// As [`MapsReplaced`](Self::MapsReplaced), and no request sent under an older version is
    /// in flight.
    ///
    /// A request without an answer counts as in flight until its deadline. Without
    /// this event the machine waits until the older maps have expired.
    MapsDrained(MapVersion),
    /// Answer to [`ReadScope`](super::ScopeAction::ReadScope); `None` if there is no object.
    ScopeRead {
        /// When the read was sent.
        sent_at: BootTime,
        /// Version and content of the object.
        result: Result<Option<(ObjectVersion, ScopeState)>, ReadFailure>,
    },
    /// Answer to [`WriteScope`](super::ScopeAction::WriteScope).
    ScopeWritten {
        /// Id of the write, from the action.
        write: WriteId,
        /// Version of the object after the write.
        result: Result<ObjectVersion, WriteFailure>,
    },
    /// Answer to [`RequestPromise`](super::ScopeAction::RequestPromise); `None` if there was none.
    PromiseAnswered {
        /// Host that was asked.
        elector: HostId,
        /// When the request was sent.
        sent_at: BootTime,
        /// Reply of the elector.
        reply: Option<PromiseReply>,
    },
    /// Answer to [`SendOrder`](super::ScopeAction::SendOrder).
    OrderAnswered {
        /// Server that the order was sent to.
        server: ServerId,
        /// Id of the order, from the action.
        order: OrderId,
        /// When the order was sent.
        sent_at: BootTime,
        /// Reply of the server, or why there is none.
        result: Result<ServerReply, ServerFailure>,
    },
    /// Requests per second of each shard since the last such event.
    LoadObserved(Vec<(ShardId, f64)>),
    /// Servers that the platform lists as about to leave; replaces the earlier list.
    ServersLeaving(Vec<ServerId>),
    /// Wall-clock time at `now`, for audit records only; sent at start and about every minute.
    WallClock {
        /// Milliseconds since 1970.
        millis: u64,
    },
    /// Audit records up to this number are archived and may be removed from the scope object.
    RecordsArchived {
        /// Number of the last archived record.
        up_to: u64,
    },
    /// The controller resigned and proposed this host as its successor.
    HandoverOffered,
    /// An operator confirmed that the old electors are lost for good.
    ConfirmLost,
    /// The host shuts down, so the machine must hand its role to another host.
    ShutdownRequested,
}
