//! Metrics of zones that are evacuated.

use {
    crate::state::HostState,
    prometheus::{IntGaugeVec, Opts, Registry},
};

/// Registers the gauges of all evacuated zones.
pub(super) fn register_evacuations(
    registry: &Registry,
    state: &HostState,
) -> Result<(), prometheus::Error> {
    if !state.follows_evacuations() {
        return Ok(());
    }
    let gauge = |name: &str, help: &str| {
        let gauge = IntGaugeVec::new(Opts::new(format!("camphorcove_{name}"), help), &["zone"])?;
        registry.register(Box::new(gauge.clone()))?;
        Ok::<_, prometheus::Error>(gauge)
    };
    let keys = gauge(
        "evacuated_zone_keys",
        "Keys whose owner is in the evacuated zone.",
    )?;
    let in_flight = gauge(
        "evacuated_zone_in_flight",
        "Requests of this host in flight at servers of the evacuated zone.",
    )?;
    let age = gauge(
        "evacuated_zone_seconds",
        "Seconds since the evacuation of the zone began.",
    )?;
    for status in state.evacuation_statuses() {
        let zone = [status.zone.as_str()];
        keys.with_label_values(&zone).set(status.keys.into());
        let requests = status.in_flight.into();
        in_flight.with_label_values(&zone).set(requests);
        let seconds = i64::try_from(status.age.as_secs()).unwrap_or(i64::MAX);
        age.with_label_values(&zone).set(seconds);
    }
    Ok(())
}
