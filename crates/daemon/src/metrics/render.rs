//! Renders the metrics page of the daemon.

use {
    super::metric_page::MetricPage,
    crate::{
        context::RequestCounters,
        control::{ScopeRegistry, ScopeReport},
        forward::ForwardService,
        maps::MapContext,
    },
    camphorcove_core::{control::ScopeRole, ids::ServiceName, map::RoutingMap, scope::MoveReason},
    camphorcove_net::{
        peer::PeerTraffic,
        platform::{CallKind, HttpStore},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

/// Components whose values the metrics page shows.
#[derive(Debug)]
pub struct MetricSources<'a> {
    /// Routing maps, configuration and known hosts.
    pub context: &'a MapContext,
    /// Scope actors of this host.
    pub scopes: &'a ScopeRegistry,
    /// Request counters.
    pub counters: &'a RequestCounters,
    /// Forwarder, for the load of its servers.
    pub forward: &'a ForwardService,
    /// Platform client, for its call counts.
    pub store: &'a HttpStore,
    /// Byte counters of the traffic with peers.
    pub traffic: &'a PeerTraffic,
}

type Reports = Vec<(ServiceName, Arc<ScopeReport>)>;

/// Renders all metrics in the Prometheus text format.
pub fn render(sources: &MetricSources<'_>) -> String {
    let page = MetricPage::new();
    let reports = sources.scopes.reports();
    request_metrics(&page, sources.counters);
    sources.counters.services.register(page.registry());
    server_metrics(&page, sources);
    scope_metrics(&page, &reports);
    map_metrics(&page, sources.context);
    platform_metrics(&page, sources.store);
    peer_metrics(&page, sources);
    page.text()
}

fn value(counter: &AtomicU64) -> u64 {
    counter.load(Relaxed)
}

fn request_metrics(page: &MetricPage, counters: &RequestCounters) {
    let results: Vec<(String, u64)> = counters
        .results()
        .map(|(code, count)| (code.number().to_string(), count))
        .collect();
    let results: Vec<(Vec<&str>, u64)> = results
        .iter()
        .map(|(code, count)| (vec![code.as_str()], *count))
        .collect();
    page.counter(
        "results_total",
        "Results told to callers, by result code.",
        &["code"],
        &results,
    );
    let unlabelled: [(&str, &str, &AtomicU64); 8] = [
        (
            "requests_total",
            "Requests accepted from callers.",
            &counters.requests,
        ),
        (
            "retries_total",
            "Attempts after the first.",
            &counters.retries,
        ),
        (
            "retries_refused_total",
            "Retries not made because the budget was spent.",
            &counters.retries_refused,
        ),
        (
            "hops_sent_total",
            "Requests sent to another host.",
            &counters.forwarded_out,
        ),
        (
            "hops_received_total",
            "Requests received from another host.",
            &counters.forwarded_in,
        ),
        (
            "server_connections_total",
            "Connections opened to servers.",
            &counters.server_connections,
        ),
        (
            "replies_cut_total",
            "Replies that broke off after their head was passed on.",
            &counters.replies_cut,
        ),
        (
            "callers_left_total",
            "Callers that left before their answer was complete.",
            &counters.callers_disconnected,
        ),
    ];
    for (name, help, counter) in unlabelled {
        page.counter(name, help, &[], &[(vec![], value(counter))]);
    }
    let in_flight = value(&counters.in_flight) as f64;
    page.gauge(
        "requests_in_flight",
        "Requests of callers in progress.",
        &[],
        &[(vec![], in_flight)],
    );
}

/// Adds the load of the servers that this host forwards to and, for each service, how evenly
/// the load is spread over its servers as far as this host knows.
fn server_metrics(page: &MetricPage, sources: &MetricSources<'_>) {
    let loads = sources.forward.server_loads();
    let mut in_flight = Vec::new();
    let mut queued = Vec::new();
    for (service, server, load) in &loads {
        let labels = vec![service.as_str(), server.as_str()];
        in_flight.push((labels.clone(), f64::from(load.in_flight)));
        queued.push((labels, f64::from(load.queued)));
    }
    let labels = &["service", "server"];
    let help = "Requests holding a slot of a server that this host forwards to.";
    page.gauge("server_requests_in_flight", help, labels, &in_flight);
    let help = "Requests waiting for a slot of a server that this host forwards to.";
    page.gauge("server_requests_queued", help, labels, &queued);
    let maps = sources.context.maps.all();
    let ratios: Vec<(Vec<&str>, f64)> = maps
        .iter()
        .map(|(service, timed_map)| {
            (
                vec![service.as_str()],
                imbalance_ratio(sources, &timed_map.map),
            )
        })
        .collect();
    page.gauge(
        "load_imbalance_ratio",
        "Highest load of a server by weight, divided by the mean; 1 is even.",
        &["service"],
        &ratios,
    );
}

fn imbalance_ratio(sources: &MetricSources<'_>, map: &RoutingMap) -> f64 {
    let now = sources.context.now();
    let load_table = sources.forward.loads().loads(map, now);
    let mut loads = Vec::new();
    for server in &map.servers {
        if let Some(tracker) = load_table.tracker(&server.id) {
            loads.push(tracker.load(now) as f64 / f64::from(server.weight.max(1)));
        }
    }
    let sum: f64 = loads.iter().sum();
    if sum <= 0.0 {
        return 1.0;
    }
    let highest = loads.iter().copied().fold(0.0, f64::max);
    highest * loads.len() as f64 / sum
}

fn scope_metrics(page: &MetricPage, reports: &Reports) {
    let gauge = |name: &str, help: &str, read: &dyn Fn(&ScopeReport) -> f64| {
        let values: Vec<(Vec<&str>, f64)> = reports
            .iter()
            .map(|(service, report)| (vec![service.as_str()], read(report)))
            .collect();
        page.gauge(name, help, &["service"], &values);
    };
    gauge("scope_epoch", "Term of the scope.", &|report| {
        report.epoch.0 as f64
    });
    gauge(
        "scope_controller",
        "1 if this host controls the scope.",
        &|report| f64::from(u8::from(report.role == ScopeRole::Controller)),
    );
    gauge(
        "scope_authority_seconds",
        "Authority left to this host as controller.",
        &|report| report.authority.as_secs_f64(),
    );
    gauge(
        "scope_unowned_shards",
        "Shards that no server can serve, as the controller sees it.",
        &|report| report.unowned as f64,
    );
    gauge("scope_moves", "Moves under way.", &|report| {
        report.moves.len() as f64
    });
    scope_counter_metrics(page, reports);
    owner_change_metrics(page, reports);
}

fn scope_counter_metrics(page: &MetricPage, reports: &Reports) {
    let counter = |name: &str, help: &str, read: &dyn Fn(&ScopeReport) -> u64| {
        let values: Vec<(Vec<&str>, u64)> = reports
            .iter()
            .map(|(service, report)| (vec![service.as_str()], read(report)))
            .collect();
        page.counter(name, help, &["service"], &values);
    };
    counter(
        "scope_takeovers_total",
        "Terms in which this host gained authority.",
        &|report| report.counters.takeovers,
    );
    counter(
        "scope_authority_lapses_total",
        "Times this host was without authority during its term.",
        &|report| report.counters.authority_lapses,
    );
    counter(
        "scope_writes_total",
        "Writes of the scope object that took effect.",
        &|report| report.counters.writes,
    );
    counter(
        "promise_failures_total",
        "Requests for a promise that an elector refused or did not answer.",
        &|report| report.promise_failures,
    );
    let seconds: Vec<(Vec<&str>, f64)> = reports
        .iter()
        .map(|(service, report)| (vec![service.as_str()], report.unavailable.as_secs_f64()))
        .collect();
    page.gauge(
        "scope_unavailable_seconds",
        "Time without a valid map on this host, since it first held one.",
        &["service"],
        &seconds,
    );
}

fn owner_change_metrics(page: &MetricPage, reports: &Reports) {
    let mut values = Vec::new();
    for (service, report) in reports {
        for (reason, count) in &report.counters.moves {
            values.push((vec![service.as_str(), reason_name(*reason)], *count));
        }
    }
    page.counter(
        "owner_changes_total",
        "Shards that changed owner.",
        &["service", "reason"],
        &values,
    );
}

fn reason_name(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::Initial => "initial",
        MoveReason::Lost => "lost",
        MoveReason::Drain => "drain",
        MoveReason::Join => "join",
        MoveReason::Balance => "balance",
        MoveReason::Pin => "pin",
    }
}

fn map_metrics(page: &MetricPage, context: &MapContext) {
    let now = context.now();
    let all = context.maps.all();
    let mut epochs = Vec::new();
    let mut revisions = Vec::new();
    let mut validity = Vec::new();
    for (service, timed_map) in all.iter() {
        let version = timed_map.map.version;
        epochs.push((vec![service.as_str()], version.epoch.0 as f64));
        revisions.push((vec![service.as_str()], version.revision as f64));
        let remaining = timed_map.valid_until.since(now).as_secs_f64();
        validity.push((vec![service.as_str()], remaining));
    }
    let labels = &["service"];
    page.gauge("map_epoch", "Term of the map held.", labels, &epochs);
    page.gauge(
        "map_revision",
        "Revision of the map held.",
        labels,
        &revisions,
    );
    page.gauge(
        "map_validity_seconds",
        "Validity left of the map held.",
        labels,
        &validity,
    );
    let config = context.config.config();
    let version = config.map_or(0, |config| config.version.0) as f64;
    page.gauge(
        "config_version",
        "Configuration version in force; 0 for none.",
        &[],
        &[(vec![], version)],
    );
}

fn platform_metrics(page: &MetricPage, store: &HttpStore) {
    let counts = store.counts();
    let calls = CallKind::ALL.map(|kind| (vec![kind.name()], counts.calls(kind)));
    page.counter(
        "platform_calls_total",
        "Calls to the platform.",
        &["kind"],
        &calls,
    );
    let failures = CallKind::ALL.map(|kind| (vec![kind.name()], counts.failures(kind)));
    page.counter(
        "platform_failures_total",
        "Calls to the platform that failed.",
        &["kind"],
        &failures,
    );
}

fn peer_metrics(page: &MetricPage, sources: &MetricSources<'_>) {
    let traffic = sources.traffic;
    page.counter(
        "peer_control_bytes_total",
        "Bytes of control messages between hosts.",
        &["direction"],
        &[
            (vec!["sent"], value(&traffic.control_sent)),
            (vec!["received"], value(&traffic.control_received)),
        ],
    );
    let live = sources.context.live_hosts().len() as f64;
    page.gauge(
        "live_hosts",
        "Live hosts of the region.",
        &[],
        &[(vec![], live)],
    );
}
