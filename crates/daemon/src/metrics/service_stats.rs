//! Result counts and latency of requests by service.

use {
    arc_swap::ArcSwap,
    camphorcove_core::{ids::ServiceName, outcome::ResultCode},
    prometheus::{
        HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry,
        core::{AtomicU64, GenericCounter},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Upper bounds of the latency buckets, in seconds. One of them is 9 ms, the target for the
/// 99th percentile.
const LATENCY_BUCKETS: [f64; 13] = [
    0.001, 0.002, 0.004, 0.006, 0.009, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Result counts and latency histograms by service. Recording takes no lock once a service
/// has its metrics.
#[derive(Debug)]
pub struct ServiceStats {
    results: IntCounterVec,
    latency: HistogramVec,
    service_metrics: ArcSwap<HashMap<ServiceName, Arc<ServiceMetrics>>>,
}

/// Metrics of one service, resolved once so that recording needs no label lookup.
#[derive(Debug)]
struct ServiceMetrics {
    results: Vec<GenericCounter<AtomicU64>>,
    latency: prometheus::Histogram,
}

impl Default for ServiceStats {
    fn default() -> Self {
        let results = Opts::new(
            "requests_by_result_total",
            "Requests by service and result code.",
        );
        let results = IntCounterVec::new(results, &["service", "code"]);
        let latency = HistogramOpts::new(
            "request_duration_seconds",
            "Time from a request's head to the head of its answer.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS.to_vec());
        let latency = HistogramVec::new(latency, &["service"]);
        let valid = "names and labels are valid";
        Self {
            results: results.unwrap_or_else(|error| unreachable!("{valid}: {error}")),
            latency: latency.unwrap_or_else(|error| unreachable!("{valid}: {error}")),
            service_metrics: ArcSwap::default(),
        }
    }
}

impl ServiceStats {
    /// Records the result and duration of a request to a configured service.
    pub fn record(&self, service: &ServiceName, code: ResultCode, duration: Duration) {
        let service_metrics = self.service_metrics.load();
        let service_metrics = match service_metrics.get(service) {
            Some(service_metrics) => service_metrics.clone(),
            None => self.add(service),
        };
        let index = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| service_metrics.results.get(index)) {
            counter.inc();
        }
        service_metrics.latency.observe(duration.as_secs_f64());
    }

    /// Registers the metrics in the registry of a metrics page.
    pub fn register(&self, registry: &Registry) {
        let _ = registry.register(Box::new(self.results.clone()));
        let _ = registry.register(Box::new(self.latency.clone()));
    }

    /// Creates the metrics of a service. Concurrent calls for the same service get the same
    /// metrics, because the metric vectors create each of them only once.
    fn add(&self, service: &ServiceName) -> Arc<ServiceMetrics> {
        let codes = ResultCode::ALL.iter();
        let results = codes.map(|code| {
            let code = code.number().to_string();
            self.results.with_label_values(&[service.as_str(), &code])
        });
        let service_metrics = Arc::new(ServiceMetrics {
            results: results.collect(),
            latency: self.latency.with_label_values(&[service.as_str()]),
        });
        self.service_metrics.rcu(|current| {
            let mut next = HashMap::clone(current);
            next.insert(service.clone(), service_metrics.clone());
            next
        });
        service_metrics
    }
}
