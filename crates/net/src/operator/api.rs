//! Bodies of the operator API, as JSON.

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

/// Declares a JSON body.
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
    /// Answer to a refused or failed request.
    ApiError {
        /// Number of the [`ApiCode`].
        code: u16,
        /// Text for people.
        error: String,
        /// Faults of the file.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        faults: Vec<Fault>,
        /// Broken rules between versions.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rules: Vec<ChangeFault>,
        /// Version in force, if that is why the request was refused.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        current: Option<ConfigVersion>,
    }
);

impl ApiError {
    /// Error with a code and a text.
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
    /// Result of a check.
    CheckReport {
        /// Number of services.
        services: usize,
        /// Number of servers.
        servers: usize,
    }
);

api_body!(
    /// Differences between the configuration in force and a file.
    DiffReport {
        /// Version in force; 0 means none.
        version: ConfigVersion,
        /// Lines that start with `+`, `-` or `~`.
        lines: Vec<String>,
        /// Rules that the change would break.
        rules: Vec<ChangeFault>,
    }
);

/// Result of a change.
pub type ApplyReport = crate::config::ChangeOutcome;

api_body!(
    /// Asks for the content of an earlier version.
    RollbackRequest {
        /// Version whose content is to be applied.
        target: ConfigVersion,
        /// Version that must be in force.
        expect: ConfigVersion,
        /// Reason for the audit trail.
        reason: String,
    }
);

api_body!(
    /// Asks for an order.
    OrderRequest {
        /// Order.
        order: crate::config::OperatorOrder,
        /// Version that must be in force.
        expect: ConfigVersion,
        /// Reason for the audit trail.
        reason: String,
    }
);

api_body!(
    /// Changes the log level of one host.
    LevelRequest {
        /// Host that must answer.
        host: HostId,
        /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
        level: String,
        /// Reason for the audit trail.
        reason: String,
    }
);

api_body!(
    /// Confirms that the old hosts of a scope have stopped.
    ConfirmRequest {
        /// Scope.
        service: ServiceName,
        /// Epoch of the controller that has stopped.
        epoch: u64,
        /// Reason for the audit trail.
        reason: String,
    }
);

api_body!(
    /// A request to explain.
    ExplainRequest {
        /// Method.
        method: String,
        /// Host header.
        host: String,
        /// Path with query.
        target: String,
        /// Further headers.
        #[serde(default)]
        headers: BTreeMap<String, String>,
    }
);

api_body!(
    /// Where a request would go.
    ExplainReport {
        /// Host that explains; another host may hold another map.
        host: HostId,
        /// True if the request would be sent to a server.
        routed: bool,
        /// Result code of the refusal (docs/result-codes.md).
        code: Option<u16>,
        /// Steps of the decision, in order; the last one gives the outcome.
        steps: Vec<String>,
        /// Service that matches.
        service: Option<ServiceName>,
        /// Key.
        key: Option<String>,
        /// Shard.
        shard: Option<ShardId>,
        /// Servers that may receive the request.
        servers: Vec<ServerId>,
        /// Host that forwards to the owner.
        forwarder: Option<HostId>,
    }
);

api_body!(
    /// State of one service as a host sees it.
    ServiceStatus {
        /// Service.
        service: ServiceName,
        /// `keyed` or `free`.
        routing: String,
        /// Host that published the map; `None` without a map.
        controller: Option<HostId>,
        /// Version of the map, `EPOCH.REVISION`.
        map: Option<String>,
        /// Configuration the map was made from.
        config: Option<ConfigVersion>,
        /// Validity of the map left, in milliseconds; 0 if it has expired.
        valid_ms: u64,
        /// Servers by phase.
        servers: BTreeMap<String, usize>,
        /// Shards.
        shards: usize,
        /// Shards without an owner.
        unowned: usize,
        /// Shards in a move.
        moving: usize,
    }
);

api_body!(
    /// Load of a server as its forwarder sees it.
    ServerLoad {
        /// Service.
        service: ServiceName,
        /// Server.
        server: ServerId,
        /// Requests sent and not answered.
        in_flight: u32,
        /// Requests waiting for a slot.
        queued: u32,
        /// Open connections.
        connections: u32,
        /// Ejected for failing.
        ejected: bool,
    }
);

api_body!(
    /// State of one server.
    ServerStatus {
        /// Service.
        service: ServiceName,
        /// Server.
        server: ServerId,
        /// Address.
        address: SocketAddr,
        /// Availability zone.
        zone: ZoneName,
        /// Phase; `None` while no map names the server.
        phase: Option<ServerPhase>,
        /// An operator drains it.
        drained: bool,
        /// Shards it owns.
        shards: usize,
        /// Host that holds its connections.
        forwarder: Option<HostId>,
        /// Load, if the answering host is its forwarder.
        load: Option<ServerLoad>,
    }
);

api_body!(
    /// A host with the configuration it has in force.
    HostStatus {
        /// Host.
        host: HostId,
        /// Availability zone, if known.
        zone: Option<ZoneName>,
        /// Address of its peer port, if known.
        peer: Option<SocketAddr>,
        /// Configuration version, if known.
        config: Option<ConfigVersion>,
    }
);

api_body!(
    /// A role of the answering host in one scope.
    RoleStatus {
        /// Scope.
        service: ServiceName,
        /// `controller`, `elector`, `candidate` or `relay`.
        role: String,
        /// Epoch.
        epoch: u64,
        /// Authority or promise left, in milliseconds.
        remaining_ms: u64,
    }
);

api_body!(
    /// A move under way.
    MoveStatus {
        /// Service.
        service: ServiceName,
        /// Shard.
        shard: ShardId,
        /// Old owner.
        from: Option<ServerId>,
        /// New owner, if the answering host knows it.
        to: Option<ServerId>,
        /// Why, if the answering host knows it.
        reason: Option<String>,
    }
);

api_body!(
    /// Owner of a key.
    OwnerReport {
        /// Service.
        service: ServiceName,
        /// Key.
        key: String,
        /// Shard of the key.
        shard: ShardId,
        /// Owner; `None` if nobody owns the shard.
        owner: Option<ServerId>,
        /// Address of the owner.
        address: Option<SocketAddr>,
        /// Token of the owner's grant, `EPOCH.SEQUENCE`.
        token: String,
        /// Host that forwards to the owner.
        forwarder: Option<HostId>,
        /// Server that an operator pinned the key to.
        pinned: Option<ServerId>,
        /// A move is under way.
        moving: bool,
        /// Version of the map, `EPOCH.REVISION`.
        map: String,
        /// Validity of the map left, in milliseconds; 0 if it has expired.
        valid_ms: u64,
    }
);

api_body!(
    /// State of the answering host and what it knows of the others.
    StatusReport {
        /// Answering host.
        host: HostId,
        /// Configuration in force on this host; 0 means none.
        config: ConfigVersion,
        /// Version of the head in the platform, if it can be read.
        platform: Option<ConfigVersion>,
        /// Hosts.
        hosts: Vec<HostStatus>,
        /// Services.
        services: Vec<ServiceStatus>,
        /// Roles of the answering host.
        roles: Vec<RoleStatus>,
        /// Servers drained by operators, `SERVICE/SERVER`.
        drained: Vec<String>,
        /// Keys pinned by operators, `SERVICE/KEY -> SERVER`.
        pins: Vec<String>,
        /// Operator requests refused by this host since its start, by reason.
        refusals: BTreeMap<String, u64>,
    }
);

api_body!(
    /// Result of verifying an audit stream.
    VerifyReport {
        /// Stream.
        stream: String,
        /// Result.
        report: ChainReport,
        /// Every fault as text.
        texts: Vec<String>,
    }
);
