//! Metrics in the Prometheus text format.

mod metric_page;
mod render;

pub use render::{MetricSources, render};
