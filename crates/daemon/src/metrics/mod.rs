//! Metrics in the Prometheus text format.

mod metric_page;
mod render;
mod service_stats;

pub use {
    render::{MetricSources, render},
    service_stats::ServiceStats,
};
