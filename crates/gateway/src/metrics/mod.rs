//! Serves the readiness check and the metrics page over HTTP.

mod evacuation_metrics;
mod metric_page;
mod probe_listener;
mod zone_metrics;

pub use {metric_page::render_metrics, probe_listener::serve_probes};
