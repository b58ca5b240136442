//! A service and its backend servers.

use {
    super::TimeSpan,
    crate::ids::{ServerId, ServiceName, ZoneName},
    std::net::SocketAddr,
};

/// Declares a closed set of settings with `Display`, `FromStr` and serde names.
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
            /// All allowed texts.
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
    /// How a server is picked for a request.
    RoutingMode {
        /// By key: the owner and no other.
        #[default]
        Keyed = "keyed",
        /// Any ready server.
        Free = "free",
    }
);

setting_enum!(
    /// Whether servers check fencing tokens.
    FencingMode {
        /// They do.
        #[default]
        Checked = "checked",
        /// They do not; deadlines carry the fence.
        Unchecked = "unchecked",
    }
);

setting_enum!(
    /// What placement prefers.
    PlacementGoal {
        /// Short unavailable time.
        #[default]
        Availability = "availability",
        /// Few changes of owner.
        Churn = "churn",
    }
);

setting_enum!(
    /// Priority class of requests.
    RequestClass {
        /// A person waits.
        #[default]
        Interactive = "interactive",
        /// Must be complete, need not be quick.
        Batch = "batch",
    }
);

setting_enum!(
    /// Who recognises a repeated idempotency key.
    DedupMode {
        /// Nobody.
        #[default]
        None = "none",
        /// The router remembers ids in memory.
        Router = "router",
        /// The server recognises them; repeats are passed on.
        Server = "server",
    }
);

/// Where a request carries its key.
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
    /// Path segment by index, from 0.
    Path {
        /// Segment index.
        segment: u32,
    },
    /// Header by name.
    Header {
        /// Header name, lower case.
        name: String,
    },
    /// Query parameter by name.
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

/// Limits of a service's requests.
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
    /// Time a request may take when the caller names no deadline.
    pub timeout: TimeSpan,
    /// Longest deadline a caller may ask for.
    pub max_timeout: TimeSpan,
    /// Requests that may wait for one server.
    pub queue: u32,
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Largest header block, in bytes.
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

/// One backend server.
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
    /// Id, unique in the service.
    pub id: ServerId,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Relative speed; 100 is ordinary.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
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

/// One service.
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
    /// Name.
    pub name: ServiceName,
    /// Host header it answers to; any if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// Path prefix it answers to.
    #[serde(default = "default_prefix")]
    pub path_prefix: String,
    /// How a server is picked.
    #[serde(default)]
    pub routing: RoutingMode,
    /// Where the key is; required if `routing` is keyed.
    #[serde(default)]
    pub key: Option<KeySource>,
    /// Number of shards, fixed once created.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// What placement prefers.
    #[serde(default)]
    pub placement: PlacementGoal,
    /// Whether servers check fencing tokens.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Class of its requests.
    #[serde(default)]
    pub class: RequestClass,
    /// Who recognises repeated idempotency keys.
    #[serde(default)]
    pub dedup: DedupMode,
    /// Methods that may run twice, upper case.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
    /// Moves in flight at once.
    #[serde(default = "default_max_moves")]
    pub max_moves: u32,
    /// Limits.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerConfig>,
}
