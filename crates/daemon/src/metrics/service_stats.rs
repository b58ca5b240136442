//! Results and latency of requests by service.

use {
    arc_swap::ArcSwap,
    camphorcove_core::{ids::ServiceName, outcome::ResultCode},
    prometheus::{
        HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry,
        core::{AtomicU64, GenericCounter},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Upper bounds of the latency buckets, in seconds; 9 ms is the target of the
/// 99th percentile.
const BUCKETS: [f64; 13] = [
    0.001, 0.002, 0.004, 0.006, 0.009, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Results and latency by service; recording takes no lock.
#[derive(Debug)]
pub struct ServiceStats {
    results: IntCounterVec,
    latency: HistogramVec,
    handles: ArcSwap<HashMap<ServiceName, Arc<ServiceHandles>>>,
}

/// Metrics of one service.
#[derive(Debug)]
struct ServiceHandles {
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
        let latency = latency.buckets(BUCKETS.to_vec());
        let latency = HistogramVec::new(latency, &["service"]);
        let valid = "names and labels are valid";
        Self {
            results: results.unwrap_or_else(|error| unreachable!("{valid}: {error}")),
            latency: latency.unwrap_or_else(|error| unreachable!("{valid}: {error}")),
            handles: ArcSwap::default(),
        }
    }
}

impl ServiceStats {
    /// Records the result of a request to a configured service.
    pub fn record(&self, service: &ServiceName, code: ResultCode, duration: Duration) {
        let handles = self.handles.load();
        let handles = match handles.get(service) {
            Some(handles) => handles.clone(),
            None => self.add(service),
        };
        let index = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| handles.results.get(index)) {
            counter.inc();
        }
        handles.latency.observe(duration.as_secs_f64());
    }

    /// Adds the metrics to a page.
    pub fn register(&self, registry: &Registry) {
        let _ = registry.register(Box::new(self.results.clone()));
        let _ = registry.register(Box::new(self.latency.clone()));
    }

    /// The vectors create a metric once, so concurrent calls share it.
    fn add(&self, service: &ServiceName) -> Arc<ServiceHandles> {
        let codes = ResultCode::ALL.iter();
        let results = codes.map(|code| {
            let code = code.number().to_string();
            self.results.with_label_values(&[service.as_str(), &code])
        });
        let handles = Arc::new(ServiceHandles {
            results: results.collect(),
            latency: self.latency.with_label_values(&[service.as_str()]),
        });
        self.handles.rcu(|current| {
            let mut next = HashMap::clone(current);
            next.insert(service.clone(), handles.clone());
            next
        });
        handles
    }
}
