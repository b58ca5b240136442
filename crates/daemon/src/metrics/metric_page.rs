//! Builds one page of metrics from current values.

use prometheus::{GaugeVec, IntCounterVec, Opts, Registry, TextEncoder};

/// Metrics of one scrape.
///
/// The values live in the parts that count them; a page is made for each
/// scrape, so the request path shares nothing with the registry.
#[derive(Debug)]
pub struct MetricPage {
    registry: Registry,
}

impl MetricPage {
    /// Empty page; names get the prefix `camphorcove_`.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("camphorcove".into()), None);
        Self {
            registry: registry.unwrap_or_default(),
        }
    }

    /// Registry of the page, for metrics that keep their own values.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a counter with its values.
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

    /// Adds a gauge with its values.
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

    /// The page as text.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# metrics unavailable: {error}\n"))
    }
}
