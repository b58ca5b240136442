//! Metrics in the Prometheus text format.

use {
    super::evacuation_metrics::register_evacuations,
    super::zone_metrics::register_zone_metrics,
    crate::state::{HostState, WAIT_BUCKETS_MS},
    prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder},
    std::sync::atomic::Ordering,
};

/// Renders the counters and gauges of the host in the Prometheus text format.
pub fn render_metrics(state: &HostState) -> Result<Vec<u8>, prometheus::Error> {
    let registry = Registry::new();
    let counters = &state.counters;
    let rows = [
        ("requests_total", "Requests read.", &counters.requests),
        (
            "answered_total",
            "Answers of servers passed on.",
            &counters.answered,
        ),
        (
            "refused_total",
            "Requests refused as not run.",
            &counters.refused,
        ),
        (
            "failed_total",
            "Requests that failed after they were sent.",
            &counters.failed,
        ),
        (
            "limited_total",
            "Requests sent to servers that limit the rate of requests.",
            &counters.limited,
        ),
        (
            "cold_total",
            "Requests sent to cold servers.",
            &counters.cold,
        ),
        (
            "cold_refused_total",
            "Times that the limit of a cold server held a request back.",
            &counters.cold_refused,
        ),
        (
            "moved_ranges_total",
            "Ranges of keys that this host has moved as the leader.",
            &counters.moved_ranges,
        ),
        (
            "moved_keys_total",
            "Keys in the ranges that this host has moved as the leader.",
            &counters.moved_keys,
        ),
        (
            "not_owned_total",
            "Keyed requests that servers refused as they do not own the key.",
            &counters.not_owned,
        ),
        (
            "quarantined_total",
            "Requests refused because servers have crashed under them.",
            &counters.quarantined,
        ),
        (
            "leavings_total",
            "Announcements of servers that they leave.",
            &counters.leavings,
        ),
        (
            "pauses_total",
            "Times that servers named for which they want no requests.",
            &counters.pauses,
        ),
        (
            "paused_total",
            "Requests refused because a server wants none for a time.",
            &counters.paused,
        ),
        (
            "evacuated_total",
            "Requests refused because the owner of their key is in an evacuated zone.",
            &counters.evacuated,
        ),
        (
            "relayed_total",
            "Requests handed to other hosts.",
            &counters.relayed,
        ),
        (
            "relays_taken_total",
            "Requests that other hosts have handed to this one.",
            &counters.relays_taken,
        ),
        ("repeated_total", "Repeats sent.", &counters.retries),
        (
            "connections_total",
            "Connections opened to servers.",
            &counters.connections,
        ),
        (
            "store_calls_total",
            "Calls to the store.",
            &counters.store_calls,
        ),
        ("orders_total", "Orders to servers.", &counters.orders),
        (
            "configs_rejected_total",
            "Configurations that could not be decoded.",
            &counters.configs_rejected,
        ),
    ];
    for (name, help, value) in rows {
        let counter = IntCounter::new(format!("camphorcove_{name}"), help)?;
        counter.inc_by(value.load(Ordering::Relaxed));
        registry.register(Box::new(counter))?;
    }
    let help = "Requests that ended without an answer of a server.";
    let opts = Opts::new("camphorcove_refusals_total", help);
    let refusals = IntCounterVec::new(opts, &["reason", "rank"])?;
    for (reason, rank, count) in state.refusal_counts() {
        let labels = [reason, &rank.to_string()];
        refusals.with_label_values(&labels).inc_by(count);
    }
    registry.register(Box::new(refusals))?;
    register_wait_times(&registry, state)?;
    let version = state.table().map_or(0, |table| table.version.0);
    let term = state.owners().map_or(0, |(owners, _)| owners.term);
    let gauges = [
        (
            "config_version",
            "Version of the configuration in force.",
            version,
        ),
        ("leader_term", "Term of the leader.", term),
        (
            "store_epoch",
            "Rises when the store has lost writes.",
            state.store_epoch(),
        ),
        (
            "limited_servers",
            "Servers that limit the rate of requests.",
            state.limited_servers() as u64,
        ),
        (
            "cold_servers",
            "Servers that are cold, whose rate of requests this host limits.",
            state.cold_servers() as u64,
        ),
        (
            "waiting_requests",
            "Requests that wait at this host for room at a server.",
            state.waiting_requests() as u64,
        ),
        (
            "hot_keys",
            "Keys whose requests are more than their owners can take.",
            state.hot_keys() as u64,
        ),
        (
            "quarantined_requests",
            "Requests in quarantine, as servers have crashed under them.",
            state.quarantined_requests() as u64,
        ),
        (
            "leaving_servers",
            "Servers that have announced to leave.",
            state.leaving_servers() as u64,
        ),
        (
            "lacks_servers",
            "1 while this host reaches no servers.",
            u64::from(state.lacks_servers()),
        ),
        (
            "paused_servers",
            "Servers that want no requests from this host.",
            state.paused_servers() as u64,
        ),
    ];
    for (name, help, value) in gauges {
        let gauge = IntGauge::new(format!("camphorcove_{name}"), help)?;
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(Box::new(gauge))?;
    }
    register_evacuations(&registry, state)?;
    register_zone_metrics(&registry, state)?;
    let mut page = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut page)?;
    Ok(page)
}

/// Adds the histogram of the times for which requests have waited at this host.
fn register_wait_times(registry: &Registry, state: &HostState) -> Result<(), prometheus::Error> {
    let times = state.wait_times();
    let help = "Requests that have waited at this host for up to this many seconds.";
    let opts = Opts::new("camphorcove_waits_total", help);
    let waits = IntCounterVec::new(opts, &["up_to_s"])?;
    let bounds = WAIT_BUCKETS_MS.map(|millis| (millis as f64 / 1_000.0).to_string());
    let labels = bounds.iter().map(String::as_str).chain(["inf"]);
    let mut total = 0;
    for (label, count) in labels.zip(times.buckets) {
        total += count;
        waits.with_label_values(&[label]).inc_by(total);
    }
    registry.register(Box::new(waits))?;
    let help = "Milliseconds for which requests have waited at this host.";
    let millis = IntCounter::new("camphorcove_wait_ms_total", help)?;
    millis.inc_by(u64::try_from(times.total.as_millis()).unwrap_or(u64::MAX));
    registry.register(Box::new(millis))
}
