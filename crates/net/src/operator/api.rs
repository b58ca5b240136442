//! JSON bodies of requests and responses of the operator API.

use {
    super::ApiCode,
    camphorcove_core::{
        audit::ChainReport,
        conf::{ChangeFault, Fault},
        ids::{ConfigVersion, HostId, ServerId, ServiceName, ShardId, ZoneName},
        map::ServerPhase,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Declares a struct that is a JSON body; the field names are the JSON keys.
macro_rules! api_body {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        pub struct $name {
            $($(#[$fdoc])* pub $field: $type,)+
        }
    };
}

api_body!(
    /// Response to a request that was refused or failed.
    ApiError {
        /// Number of the [`ApiCode`].
        code: u16,
        /// Human-readable description.
        error: String,
        /// Faults of the configuration file, if it is invalid.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        faults: Vec<Fault>,
        /// Rules between versions that the change breaks.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rules: Vec<ChangeFault>,
        /// Version in force, if the request expected another one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        current: Option<ConfigVersion>,
    }
);

impl ApiError {
    /// Creates an error with a result code and a description.
    pub fn new(code: ApiCode, error: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            error: error.into(),
            faults: Vec::new(),
            rules: Vec::new(),
            current: None,
        }
    }
}

api_body!(
    /// Summary of a configuration file that passed the check.
    CheckReport {
        /// Number of services in the file.
        services: usize,
        /// Number of backend servers of all services.
        servers: usize,
    }
);

api_body!(
    /// Differences between the configuration in force and a file.
    DiffReport {
        /// Version in force; 0 means none.
        version: ConfigVersion,
        /// One line per difference: `+` added, `-` removed, `~` changed.
        lines: Vec<String>,
        /// Rules between versions that applying the file would break.
        rules: Vec<ChangeFault>,
    }
);

/// Result of a configuration change.
pub type ApplyReport = crate::config::ChangeOutcome;

api_body!(
    /// Requests that the content of an earlier version is applied again.
    RollbackRequest {
        /// Version whose content is applied.
        target: ConfigVersion,
        /// Version that must be in force, or else the request is refused.
        expect: ConfigVersion,
        /// Reason, recorded in the audit trail.
        reason: String,
    }
);

api_body!(
    /// Requests a drain, a pin or the removal of one.
    OrderRequest {
        /// Requested change to the orders in force.
        order: crate::config::OperatorOrder,
        /// Version that must be in force, or else the request is refused.
        expect: ConfigVersion,
        /// Reason, recorded in the audit trail.
        reason: String,
    }
);

api_body!(
    /// Requests another log level of one host.
    LevelRequest {
        /// Host whose level changes; another host refuses the request.
        host: HostId,
        /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
        level: String,
        /// Reason, recorded in the audit trail.
        reason: String,
    }
);

api_body!(
    /// Confirms that the hosts which controlled a service under an earlier epoch have
    /// stopped.
    ConfirmRequest {
        /// Service whose shards the hosts controlled.
        service: ServiceName,
        /// Epoch of the controller that has stopped; covers earlier epochs as well.
        epoch: u64,
        /// Reason, recorded in the audit trail.
        reason: String,
    }
);

api_body!(
    /// Describes a caller's request whose routing is to be explained.
    ExplainRequest {
        /// HTTP method.
        method: String,
        /// Value of the `Host` header; empty if there is none.
        host: String,
        /// Path with query.
        target: String,
        /// Other headers by name.
        #[serde(default)]
        headers: BTreeMap<String, String>,
    }
);

api_body!(
    /// Explains where a caller's request would be routed.
    ExplainReport {
        /// Host that produced the explanation; another host may have another map.
        host: HostId,
        /// True if the request would be sent to a server.
        routed: bool,
        /// Result code if the request would be refused (docs/result-codes.md).
        code: Option<u16>,
        /// Steps of the routing decision, in order; the last one is the outcome.
        steps: Vec<String>,
        /// Service that matches the request.
        service: Option<ServiceName>,
        /// Key extracted from the request, for a keyed service.
        key: Option<String>,
        /// Shard of the key.
        shard: Option<ShardId>,
        /// Servers that may receive the request.
        servers: Vec<ServerId>,
        /// Host that holds the connections to the owner and forwards to it.
        forwarder: Option<HostId>,
    }
);

api_body!(
    /// State of one service, according to the routing map of the responding host.
    ServiceStatus {
        /// Name of the service.
        service: ServiceName,
        /// `keyed` or `free`.
        routing: String,
        /// Host that published the routing map; `None` if the host has no map.
        controller: Option<HostId>,
        /// Version of the map, `EPOCH.REVISION`.
        map: Option<String>,
        /// Configuration version the map was made from.
        config: Option<ConfigVersion>,
        /// Remaining validity of the map, in milliseconds; 0 if it has expired.
        valid_ms: u64,
        /// Number of servers in each phase.
        servers: BTreeMap<String, usize>,
        /// Number of shards; 0 for a service that is not keyed.
        shards: usize,
        /// Number of shards without an owner.
        unowned: usize,
        /// Number of shards that are being moved to another owner.
        moving: usize,
    }
);

api_body!(
    /// Load of a server, as measured by the host that forwards to it.
    ServerLoad {
        /// Service of the server.
        service: ServiceName,
        /// Id of the server.
        server: ServerId,
        /// Requests sent to the server that have not been answered yet.
        in_flight: u32,
        /// Requests waiting for a free request slot of the server.
        queued: u32,
        /// Open connections to the server.
        connections: u32,
        /// True if the server gets no requests because earlier ones failed.
        ejected: bool,
    }
);

api_body!(
    /// State of one backend server.
    ServerStatus {
        /// Service of the server.
        service: ServiceName,
        /// Id of the server.
        server: ServerId,
        /// Address at which the server accepts requests.
        address: SocketAddr,
        /// Availability zone.
        zone: ZoneName,
        /// Phase in the routing map; `None` if the map does not list the server.
        phase: Option<ServerPhase>,
        /// True if an operator has drained the server.
        drained: bool,
        /// Number of shards the server owns.
        shards: usize,
        /// Host that holds the connections to the server.
        forwarder: Option<HostId>,
        /// Load, if the responding host forwards to the server.
        load: Option<ServerLoad>,
    }
);

api_body!(
    /// A host and the configuration version in force on it.
    HostStatus {
        /// Id of the host.
        host: HostId,
        /// Availability zone, if known.
        zone: Option<ZoneName>,
        /// Address at which the other hosts reach it, if known.
        peer: Option<SocketAddr>,
        /// Configuration version, if known.
        config: Option<ConfigVersion>,
    }
);

api_body!(
    /// Role of the responding host in one scope. A scope is the unit of shard control
    /// and covers one service.
    RoleStatus {
        /// Service of the scope.
        service: ServiceName,
        /// `controller`, `elector`, `candidate` or `relay`.
        role: String,
        /// Epoch in which the host has the role.
        epoch: u64,
        /// Remaining time of the controller's authority, in milliseconds; 0 for the
        /// other roles.
        remaining_ms: u64,
    }
);

api_body!(
    /// A shard that is being moved to another owner.
    MoveStatus {
        /// Keyed service.
        service: ServiceName,
        /// Shard that is being moved.
        shard: ShardId,
        /// Previous owner; `None` if the shard had none.
        from: Option<ServerId>,
        /// New owner, if the responding host controls the move.
        to: Option<ServerId>,
        /// Reason for the move, if the responding host controls it.
        reason: Option<String>,
    }
);

api_body!(
    /// Owner of a key, according to the routing map of the responding host.
    OwnerReport {
        /// Keyed service.
        service: ServiceName,
        /// Key that was asked for.
        key: String,
        /// Shard of the key.
        shard: ShardId,
        /// Server that owns the shard; `None` if the shard has no owner.
        owner: Option<ServerId>,
        /// Address of the owner.
        address: Option<SocketAddr>,
        /// Fencing token under which the owner was granted the shard,
        /// `EPOCH.SEQUENCE`.
        token: String,
        /// Host that holds the connections to the owner and forwards to it.
        forwarder: Option<HostId>,
        /// Server to which an operator has pinned the key.
        pinned: Option<ServerId>,
        /// True if the shard is being moved.
        moving: bool,
        /// Version of the map, `EPOCH.REVISION`.
        map: String,
        /// Remaining validity of the map, in milliseconds; 0 if it has expired.
        valid_ms: u64,
    }
);

api_body!(
    /// State of the responding host and what it knows of the other hosts.
    StatusReport {
        /// Responding host.
        host: HostId,
        /// Configuration version in force on the responding host; 0 means none.
        config: ConfigVersion,
        /// Configuration version stored in the platform; `None` if it cannot be read.
        platform: Option<ConfigVersion>,
        /// Known hosts, including the responding one.
        hosts: Vec<HostStatus>,
        /// State of each configured service.
        services: Vec<ServiceStatus>,
        /// Roles of the responding host.
        roles: Vec<RoleStatus>,
        /// Servers drained by operators, `SERVICE/SERVER`.
        drained: Vec<String>,
        /// Keys pinned by operators, `SERVICE/KEY -> SERVER`.
        pins: Vec<String>,
        /// Number of operator requests that the host has refused since its start, by
        /// reason.
        refusals: BTreeMap<String, u64>,
    }
);

api_body!(
    /// Result of verifying the hash chain of an audit stream.
    VerifyReport {
        /// Name of the stream.
        stream: String,
        /// Number of records, last record and faults of the chain.
        report: ChainReport,
        /// Human-readable text of each fault.
        texts: Vec<String>,
    }
);
