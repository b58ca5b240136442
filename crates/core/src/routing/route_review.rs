//! What is valid in a configuration but has no effect, or contradicts itself.

use {
    super::{RouteRule, ServiceRule},
    crate::ids::ServiceName,
    snafu::Snafu,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Entry that a note is about, by its position in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReviewPlace {
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
}

/// A part of a configuration that is valid but most likely not meant.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ReviewNote {
    /// An earlier route has the same host and prefix, so no request matches this one.
    #[snafu(display(
        "route {route} matches no request: route {by} has the same host and prefix and comes first"
    ))]
    HiddenRoute {
        /// Route that matches nothing.
        route: String,
        /// Route that matches its requests.
        by: String,
    },
    /// No route sends requests to the service.
    #[snafu(display(
        "service {service} gets no requests: no route has a part of positive weight for it"
    ))]
    UnusedService {
        /// Service.
        service: ServiceName,
    },
    /// A later service has the same name and replaces this one.
    #[snafu(display("service {service} is defined again below, which replaces this definition"))]
    ReplacedService {
        /// Service.
        service: ServiceName,
    },
    /// Servers of the service accept no connection.
    #[snafu(display("service {service} accepts no connections"))]
    NoConnections {
        /// Service.
        service: ServiceName,
    },
    /// Requests end before they miss their target.
    #[snafu(display(
        "route {route}: the time limit of {time_limit:?} is below the target latency of {target:?}"
    ))]
    TargetAboveLimit {
        /// Route.
        route: String,
        /// Time limit.
        time_limit: Duration,
        /// Target latency.
        target: Duration,
    },
    /// Hosts have no retries to spend.
    #[snafu(display(
        "route {route}: {attempts} attempts, but the retry budget of the hosts is empty"
    ))]
    NoRetryBudget {
        /// Route.
        route: String,
        /// Most servers that a request is sent to.
        attempts: u32,
    },
}

/// Notes on all routes and services, each with the entry concerned. `has_retry_budget` is what the settings of the
/// hosts say; `None` if they are not known.
pub fn review_routes(
    routes: &[RouteRule],
    services: &[ServiceRule],
    has_retry_budget: Option<bool>,
) -> Vec<(ReviewPlace, ReviewNote)> {
    let mut notes = Vec::new();
    let mut matched = HashMap::new();
    let mut used = HashSet::new();
    for (at, rule) in routes.iter().enumerate() {
        let place = ReviewPlace::Route(at);
        let route = rule.name.clone();
        let first = matched.entry((&rule.host, &rule.prefix)).or_insert(rule);
        let is_hidden = !std::ptr::eq(*first, rule);
        if is_hidden {
            let by = first.name.clone();
            let route = route.clone();
            notes.push((place, ReviewNote::HiddenRoute { route, by }));
        }
        let parts = rule
            .split
            .iter()
            .filter(|part| part.weight > 0 && !is_hidden);
        used.extend(parts.map(|part| &part.service));
        let (time_limit, target) = (rule.time_limit, rule.target_latency);
        if time_limit < target {
            let route = route.clone();
            let note = ReviewNote::TargetAboveLimit {
                route,
                time_limit,
                target,
            };
            notes.push((place, note));
        }
        let attempts = rule.attempts;
        if attempts > 1 && has_retry_budget == Some(false) {
            notes.push((place, ReviewNote::NoRetryBudget { route, attempts }));
        }
    }
    for (at, rule) in services.iter().enumerate() {
        let place = ReviewPlace::Service(at);
        let service = rule.name.clone();
        if services[at + 1..].iter().any(|later| later.name == service) {
            notes.push((place, ReviewNote::ReplacedService { service }));
            continue;
        }
        if rule.connections == 0 {
            let service = service.clone();
            notes.push((place, ReviewNote::NoConnections { service }));
        }
        if !used.contains(&service) {
            notes.push((place, ReviewNote::UnusedService { service }));
        }
    }
    notes
}
