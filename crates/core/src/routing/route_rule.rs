//! Configuration of routes, services and the limits on callers.

use {
    crate::{dispatch::RequestRate, ids::ServiceName},
    std::time::Duration,
};

value_type! {
    /// Rank of a route among those of its service; 0 is the most urgent.
    RouteRank(u32)
}

/// Whether a request may be retried when it is unknown whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// One service's share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Size of the share, relative to the other weights of the route.
    pub weight: u32,
}

/// A configured route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, as shown in logs.
    pub name: String,
    /// Host header that selects the route, in lower case.
    pub host: String,
    /// Path prefix that selects the route; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry: RetryPolicy,
    /// Longest time that a request may take; a caller may ask for less.
    pub time_limit: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// How urgent its requests are.
    pub rank: RouteRank,
    /// Maximum number of servers that one request may be sent to.
    pub attempts: u32,
    /// Services that share the traffic, at least one.
    pub split: Vec<SplitPart>,
}

/// What a server takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupRule {
    /// Time for which a server is cold after it has started.
    pub duration: Duration,
    /// Requests that a cold server takes from all hosts together.
    pub rate: RequestRate,
}

/// A configured service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name by which routes refer to the service.
    pub name: ServiceName,
    /// Maximum number of connections that one server accepts from all hosts together.
    pub connections: u32,
    /// Whether each server owns key ranges exclusively.
    pub keyed: bool,
    /// Limit of cold servers; `None` if they take as many requests as warm ones.
    pub warmup: Option<WarmupRule>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header block, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time within which a whole header block must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}
