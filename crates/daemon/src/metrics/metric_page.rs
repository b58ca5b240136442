//! Builds a metrics page from current values.

use prometheus::{GaugeVec, IntCounterVec, Opts, Registry, TextEncoder};

/// Metrics of one scrape.
///
/// The components that count keep the values, and each scrape builds a new page
/// from them. The request path therefore never touches the registry of a page.
#[derive(Debug)]
pub struct MetricPage {
    registry: Registry,
}

impl MetricPage {
    /// Creates an empty page, which adds the prefix `camphorcove_` to all names.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("camphorcove".into()), None);
        Self {
            registry: registry.unwrap_or_default(),
        }
    }

    /// Registry of the page, for components that register their own Prometheus metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a counter with one value for each combination of label values.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str], values: &[(Vec<&str>, u64)]) {
        let Ok(family) = IntCounterVec::new(Opts::new(name, help), labels) else {
            return;
        };
        for (labels, value) in values {
            if let Ok(metric) = family.get_metric_with_label_values(labels) {
                metric.inc_by(*value);
            }
        }
        let _ = self.registry.register(Box::new(family));
    }

    /// Adds a gauge with one value for each combination of label values.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str], values: &[(Vec<&str>, f64)]) {
        let Ok(family) = GaugeVec::new(Opts::new(name, help), labels) else {
            return;
        };
        for (labels, value) in values {
            if let Ok(metric) = family.get_metric_with_label_values(labels) {
                metric.set(*value);
            }
        }
        let _ = self.registry.register(Box::new(family));
    }

    /// Renders the page in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# metrics unavailable: {error}\n"))
    }
}
