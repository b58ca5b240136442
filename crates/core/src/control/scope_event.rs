//! Events a scope's machine reacts to.

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
    /// Host.
    pub id: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// It is shutting down and takes no new role.
    pub leaving: bool,
}

/// What is configured for a scope.
#[derive(Clone, Debug, PartialEq)]
pub struct ScopeSpec {
    /// Configuration version.
    pub version: ConfigVersion,
    /// The service.
    pub service: ServiceConfig,
    /// Servers ordered to drain.
    pub drained: Vec<ServerId>,
    /// Shards pinned to a server.
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
    /// Nothing was written.
    NotSent,
    /// It may have taken effect.
    Unknown,
}

/// An event for a scope's machine.
#[derive(Clone, Debug)]
pub enum ScopeEvent {
    /// Time passed; sent every 50 ms or so.
    Tick,
    /// The configuration changed.
    SpecChanged(Arc<ScopeSpec>),
    /// The set of live hosts changed; this host included.
    ///
    /// A host is live while it polls. The machine itself waits out the map of a
    /// host that is no longer listed.
    HostsChanged(Vec<HostInfo>),
    /// This host's copy of the scope's map: its term and the end of its validity.
    MapObserved {
        /// Term of the map.
        epoch: Epoch,
        /// End of validity on this host's clock.
        valid_until: BootTime,
        /// The map, from which a successor takes the forwarders over.
        map: Option<Arc<RoutingMap>>,
    },
    /// Every host holds this version or a newer one, or its older map has lapsed.
    ///
    /// It shortens planned moves at servers that check tokens. A request that a
    /// host sent under the older map may still be under way, and a server that
    /// checks no tokens runs it until its deadline.
    MapsReplaced(MapVersion),
    /// As [`MapsReplaced`](Self::MapsReplaced), and no request sent under an older version is outstanding.
    ///
    /// A request without an answer is outstanding until its deadline. Without
    /// this event the machine waits until the older maps have lapsed.
    MapsDrained(MapVersion),
    /// Answer to [`ReadScope`](super::ScopeAction::ReadScope); `None` if there is no object.
    ScopeRead {
        /// When the read was sent.
        sent_at: BootTime,
        /// Object and version.
        result: Result<Option<(ObjectVersion, ScopeState)>, ReadFailure>,
    },
    /// Answer to [`WriteScope`](super::ScopeAction::WriteScope).
    ScopeWritten {
        /// Which write.
        write: WriteId,
        /// New version.
        result: Result<ObjectVersion, WriteFailure>,
    },
    /// Answer to [`AskPromise`](super::ScopeAction::AskPromise); `None` if there was none.
    PromiseAnswered {
        /// Elector.
        elector: HostId,
        /// When the question was sent.
        sent_at: BootTime,
        /// Its reply.
        reply: Option<PromiseReply>,
    },
    /// Answer to [`SendOrder`](super::ScopeAction::SendOrder).
    OrderAnswered {
        /// Server.
        server: ServerId,
        /// Which order.
        order: OrderId,
        /// When the order was sent.
        sent_at: BootTime,
        /// Reply or failure.
        result: Result<ServerReply, ServerFailure>,
    },
    /// Requests per second and shard since the last such event.
    LoadObserved(Vec<(ShardId, f64)>),
    /// The platform's list says these servers leave.
    ServersLeaving(Vec<ServerId>),
    /// Wall-clock time at `now`, for audit records only; sent at start and every minute or so.
    WallClock {
        /// Milliseconds since 1970.
        millis: u64,
    },
    /// Audit records up to this number are archived and may leave the scope object.
    RecordsArchived {
        /// Last archived number.
        up_to: u64,
    },
    /// The controller resigned and named this host as its successor.
    HandoverOffered,
    /// An operator confirmed that the old electors are gone for good.
    ConfirmLost,
    /// The host shuts down; hand the role over.
    Resign,
}
