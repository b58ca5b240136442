//! One route, one service and the limits on callers.

use {crate::ids::ServiceName, std::time::Duration};

/// Whether a request may be retried when it is unknown whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// Part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that gets the part.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name in logs.
    pub name: String,
    /// Host header that selects the route, in lower case.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry: RetryPolicy,
    /// Longest time that a request is kept waiting.
    pub time_limit: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// Most servers that one request may be sent to.
    pub attempts: u32,
    /// Services, at least one.
    pub split: Vec<SplitPart>,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceName,
    /// Connections that one server accepts from all hosts together.
    pub connections: u32,
    /// Servers own key ranges.
    pub keyed: bool,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header block, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a header block has to arrive.
    pub header_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}
