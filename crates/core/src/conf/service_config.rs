//! Configuration of a service and its backend servers.

use {
    super::TimeSpan,
    crate::ids::{ServerId, ServiceName, ZoneName},
    std::net::SocketAddr,
};

/// Declares an enum for a setting with a fixed set of values, with its serde names and `Display`.
macro_rules! setting_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
        )]
        pub enum $name {
            $($(#[$vdoc])* #[serde(rename = $text)] $variant,)+
        }

        impl $name {
            /// All values as written in a file.
            pub const ALLOWED: &'static [&'static str] = &[$($text),+];
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(match self { $(Self::$variant => $text,)+ })
            }
        }
    };
}

setting_enum!(
    /// How the server for a request is chosen.
    RoutingMode {
        /// Only the server that owns the request's key.
        #[default]
        Keyed = "keyed",
        /// Any ready server.
        Free = "free",
    }
);

setting_enum!(
    /// Whether servers check fencing tokens.
    FencingMode {
        /// Servers reject requests with an outdated fencing token.
        #[default]
        Checked = "checked",
        /// Servers ignore fencing tokens. Only request deadlines keep a former owner from running
        /// requests.
        Unchecked = "unchecked",
    }
);

setting_enum!(
    /// What the placement planner prefers.
    PlacementGoal {
        /// Short unavailability. Shards move more often and at smaller differences in load.
        #[default]
        Availability = "availability",
        /// Few changes of owner. Shards move less often and only at larger differences in load.
        Churn = "churn",
    }
);

setting_enum!(
    /// Priority class of requests.
    RequestClass {
        /// A person waits for the answer.
        #[default]
        Interactive = "interactive",
        /// All requests must complete, but none is urgent.
        Batch = "batch",
    }
);

setting_enum!(
    /// Who detects requests that repeat an idempotency key.
    DedupMode {
        /// Nobody; repeats run again.
        #[default]
        None = "none",
        /// The router, which keeps recent idempotency keys in memory.
        Router = "router",
        /// The server; the router forwards repeats to it.
        Server = "server",
    }
);

/// Part of a request that holds its key.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(tag = "from", rename_all = "snake_case", deny_unknown_fields)]
pub enum KeySource {
    /// A segment of the path.
    Path {
        /// Index of the segment, from 0.
        segment: u32,
    },
    /// A request header.
    Header {
        /// Header name in lower case.
        name: String,
    },
    /// A query parameter.
    Query {
        /// Parameter name.
        name: String,
    },
}

impl std::fmt::Display for KeySource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Path { segment } => write!(f, "path segment {segment}"),
            Self::Header { name } => write!(f, "header {name}"),
            Self::Query { name } => write!(f, "query parameter {name}"),
        }
    }
}

/// Limits for the requests of a service.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Time that a request may take if the caller sets no deadline.
    pub timeout: TimeSpan,
    /// Longest deadline a caller may ask for.
    pub max_timeout: TimeSpan,
    /// Maximum number of requests that wait for one server.
    pub queue: u32,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Maximum size of the request headers in bytes.
    pub max_header: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            timeout: TimeSpan(2_000),
            max_timeout: TimeSpan(30_000),
            queue: 64,
            max_body: 8 << 20,
            max_header: 16 << 10,
        }
    }
}

/// Configuration of a backend server.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Server id, unique within the service.
    pub id: ServerId,
    /// IP address and HTTP port.
    pub address: SocketAddr,
    /// Availability zone that the server is in.
    pub zone: ZoneName,
    /// Relative speed in percent; a server of ordinary speed has 100.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests that the server runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
}

fn default_weight() -> u32 {
    100
}

fn default_shards() -> u32 {
    4_096
}

fn default_max_moves() -> u32 {
    256
}

fn default_prefix() -> String {
    "/".into()
}

/// Configuration of a service.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Service name, unique within the region.
    pub name: ServiceName,
    /// Host that requests must name; any host if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// Path prefix that requests must have.
    #[serde(default = "default_prefix")]
    pub path_prefix: String,
    /// How the server for a request is chosen.
    #[serde(default)]
    pub routing: RoutingMode,
    /// Part of a request that holds its key; required if `routing` is keyed.
    #[serde(default)]
    pub key: Option<KeySource>,
    /// Number of shards. It cannot change after the service was created.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// What the placement planner prefers.
    #[serde(default)]
    pub placement: PlacementGoal,
    /// Whether servers check fencing tokens.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Priority class of the service's requests.
    #[serde(default)]
    pub class: RequestClass,
    /// Who detects requests that repeat an idempotency key.
    #[serde(default)]
    pub dedup: DedupMode,
    /// HTTP methods in upper case whose requests may safely run more than once.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
    /// Maximum number of shards that move at the same time.
    #[serde(default = "default_max_moves")]
    pub max_moves: u32,
    /// Limits for the service's requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Backend servers of the service.
    #[serde(default)]
    pub servers: Vec<ServerConfig>,
}
