//! Lookup of routes, and validation of a configuration's routes.

use {
    super::{CallerLimits, RouteRank, RouteRule, ServiceRule},
    crate::dispatch::{RankLimit, RankLimits},
    crate::ids::{ConfigVersion, ServiceName},
    snafu::Snafu,
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Why a configuration is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RouteTableError {
    /// A route names a service that is not configured.
    #[snafu(display("route {route}: service {service} is not configured"))]
    UnknownService {
        /// Route.
        route: String,
        /// Service that is not configured.
        service: ServiceName,
    },
    /// All weights of a route are zero.
    #[snafu(display("route {route}: no part of its split has a positive weight"))]
    NoWeight {
        /// Route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix:?} must begin and end with a slash"))]
    InvalidPrefix {
        /// Route.
        route: String,
        /// Rejected prefix.
        prefix: String,
    },
    /// A route's attempts or time limit is zero.
    #[snafu(display("route {route}: attempts and time limit must be positive"))]
    ZeroLimit {
        /// Route.
        route: String,
    },
}

/// Routes and services of one configuration version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<RouteRule>>>,
    /// Limits by rank of the services whose routes have different ranks.
    rank_limits: HashMap<ServiceName, RankLimits>,
    /// Services with a route that is less urgent than the default.
    ranked_services: HashSet<ServiceName>,
}

impl RouteTable {
    /// Validates all routes; one invalid route rejects the whole configuration.
    pub fn new(
        version: ConfigVersion,
        limits: CallerLimits,
        services: Vec<ServiceRule>,
        rules: Vec<RouteRule>,
    ) -> Result<Self, RouteTableError> {
        let services: HashMap<_, _> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut routes: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in rules {
            if let Some(fault) = route_faults(&rule, &services).into_iter().next() {
                return Err(fault);
            }
            routes
                .entry(rule.host.clone())
                .or_default()
                .push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| Reverse(rule.prefix.len()));
        }
        let rank_limits = rank_limits(&services, &routes);
        let rules = routes.values().flatten();
        let ranked = rules.filter(|rule| rule.rank > RouteRank::default());
        let ranked_services = ranked
            .flat_map(|rule| rule.split.iter().map(|part| part.service.clone()))
            .collect();
        Ok(Self {
            version,
            limits,
            services,
            routes,
            rank_limits,
            ranked_services,
        })
    }

    /// Limit by rank of a route's requests for a service; `None` if the service has no more urgent
    /// route.
    pub fn rank_limit(&self, service: &ServiceName, rule: &RouteRule) -> Option<RankLimit> {
        self.rank_limits.get(service)?.limit(rule)
    }

    /// Whether any route of the service is less urgent than the default, so that the configuration asks
    /// for priorities.
    pub fn uses_ranks(&self, service: &ServiceName) -> bool {
        self.ranked_services.contains(service)
    }

    /// Route with the longest prefix of `path` at `host`; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let rules = match self.routes.get(name) {
            Some(rules) => rules,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Shortest target latency of the routes that a service has a part of; `None` if it has none.
    pub fn target_latency(&self, service: &ServiceName) -> Option<Duration> {
        let uses_it = |route: &&Arc<RouteRule>| {
            let mut parts = route.split.iter();
            parts.any(|part| part.service == *service && part.weight > 0)
        };
        let routes = self.routes.values().flatten().filter(uses_it);
        routes.map(|route| route.target_latency).min()
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn rank_limits(
    services: &HashMap<ServiceName, ServiceRule>,
    routes: &HashMap<String, Vec<Arc<RouteRule>>>,
) -> HashMap<ServiceName, RankLimits> {
    let mut rank_limits = HashMap::new();
    for service in services.keys() {
        let gets_requests = |rule: &&RouteRule| {
            let mut parts = rule.split.iter();
            parts.any(|part| part.weight > 0 && part.service == *service)
        };
        let rules = routes.values().flatten().map(Arc::as_ref);
        if let Some(limits) = RankLimits::of_routes(rules.filter(gets_requests)) {
            rank_limits.insert(service.clone(), limits);
        }
    }
    rank_limits
}

/// Every reason for which a route makes its configuration invalid.
pub fn route_faults(
    rule: &RouteRule,
    services: &HashMap<ServiceName, ServiceRule>,
) -> Vec<RouteTableError> {
    let route = rule.name.clone();
    let prefix = rule.prefix.clone();
    let mut faults = Vec::new();
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let route = route.clone();
        faults.push(RouteTableError::InvalidPrefix { route, prefix });
    }
    if rule.attempts == 0 || rule.time_limit.is_zero() {
        let route = route.clone();
        faults.push(RouteTableError::ZeroLimit { route });
    }
    if rule.split.iter().all(|part| part.weight == 0) {
        let route = route.clone();
        faults.push(RouteTableError::NoWeight { route });
    }
    for part in &rule.split {
        let service = part.service.clone();
        if !services.contains_key(&service) {
            let route = route.clone();
            faults.push(RouteTableError::UnknownService { route, service });
        }
    }
    faults
}
