//! Runs an open-loop load.
//!
//! Requests are sent at their planned times whether or not earlier ones have
//! been answered, and latencies count from the planned times. A slow router
//! therefore cannot slow the generator down and so hide its own delays
//! (coordinated omission).

use {
    super::{Arrivals, Caller, KeySampler, LoadPlan, ServiceLoad},
    crate::report::{CallOutcome, CallStats, ResultTable, format_millis},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, sync::mpsc},
};

/// Result of a load run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Services in the order given to [`run`], with the outcomes and latencies of their calls.
    pub services: Vec<(ServiceLoad, CallStats)>,
    /// Time from the start of the load to the last answer.
    pub elapsed: Duration,
    /// Requests not sent because `LoadPlan::in_flight` requests were in flight already.
    pub skipped: u64,
    /// Longest time between a request's planned time and the moment the generator got to it.
    pub max_lateness: Duration,
}

/// Outcome of one call, sent from its task to [`run`].
struct FinishedCall {
    /// Index of the service.
    service: usize,
    outcome: CallOutcome,
    /// Time since the planned time.
    latency: Duration,
}

/// Generates a load and waits until every request has been answered or has failed. `entries`
/// are the addresses that requests are sent to, chosen at random for each request.
pub async fn run(entries: &[SocketAddr], services: &[ServiceLoad], plan: &LoadPlan) -> LoadResult {
    let started = Instant::now();
    let (finished_calls, mut received) = mpsc::unbounded_channel();
    let pacer = Pacer {
        caller: Caller::new(plan.in_flight, plan.timeout.duration()),
        entries: entries.to_vec(),
        services: services.to_vec(),
        plan: plan.clone(),
        in_flight: Arc::default(),
        finished_calls,
    };
    let runtime = Handle::current();
    // A separate thread, because the runtime's timers have a resolution of only 1 ms.
    let pacer_thread = thread::spawn(move || pacer.run(&runtime, started));
    let mut stats_by_service = vec![CallStats::default(); services.len()];
    while let Some(finished) = received.recv().await {
        stats_by_service[finished.service].add(finished.outcome, finished.latency);
    }
    let (skipped, max_lateness) = pacer_thread.join().unwrap_or_default();
    LoadResult {
        services: services.iter().cloned().zip(stats_by_service).collect(),
        elapsed: started.elapsed(),
        skipped,
        max_lateness,
    }
}

/// Sends the requests of a load at their planned times.
struct Pacer {
    caller: Caller,
    /// Addresses where hosts accept callers.
    entries: Vec<SocketAddr>,
    services: Vec<ServiceLoad>,
    plan: LoadPlan,
    /// Requests sent and not finished yet.
    in_flight: Arc<AtomicUsize>,
    finished_calls: mpsc::UnboundedSender<FinishedCall>,
}

impl Pacer {
    /// Sends all requests; returns the number of skipped ones and the longest lateness.
    fn run(self, runtime: &Handle, started: Instant) -> (u64, Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let sampler = KeySampler::new(self.plan.keys, self.plan.skew);
        let end = started + self.plan.duration.duration();
        let mut planned_at = started;
        let mut skipped = 0;
        let mut max_lateness = Duration::ZERO;
        while planned_at < end {
            let now = Instant::now();
            thread::sleep(planned_at.saturating_duration_since(now));
            max_lateness = max_lateness.max(planned_at.elapsed());
            if self.in_flight.load(Ordering::Relaxed) < self.plan.in_flight {
                self.send_request(runtime, &sampler, &mut rng, planned_at);
            } else {
                skipped += 1;
            }
            planned_at += self.next_spacing(&mut rng);
        }
        (skipped, max_lateness)
    }

    fn send_request(
        &self,
        runtime: &Handle,
        sampler: &KeySampler,
        rng: &mut ChaCha8Rng,
        planned_at: Instant,
    ) {
        let service = self.draw_service(rng);
        let key = sampler.draw(rng);
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let Ok(request) = self.services[service].request(key, rng.random()) else {
            return;
        };
        let caller = self.caller.clone();
        let finished_calls = self.finished_calls.clone();
        let in_flight = self.in_flight.clone();
        in_flight.fetch_add(1, Ordering::Relaxed);
        runtime.spawn(async move {
            let outcome = caller.call(entry, request).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let latency = planned_at.elapsed();
            // Fails only if `run` was cancelled and dropped the receiver.
            let _ = finished_calls.send(FinishedCall {
                service,
                outcome,
                latency,
            });
        });
    }

    /// Returns the index of a random service, drawn by weight.
    fn draw_service(&self, rng: &mut ChaCha8Rng) -> usize {
        let total: f64 = self.services.iter().map(|service| service.weight).sum();
        let mut point = rng.random::<f64>() * total;
        for (index, service) in self.services.iter().enumerate() {
            if point < service.weight {
                return index;
            }
            point -= service.weight;
        }
        self.services.len() - 1
    }

    /// Returns the time until the next planned request.
    fn next_spacing(&self, rng: &mut ChaCha8Rng) -> Duration {
        let mean = 1.0 / self.plan.rate;
        let seconds = match self.plan.arrivals {
            Arrivals::Even => mean,
            Arrivals::Poisson => -mean * (1.0 - rng.random::<f64>()).ln(),
        };
        Duration::from_secs_f64(seconds)
    }
}

impl LoadResult {
    /// Returns a table with one row per service.
    pub fn table(&self) -> ResultTable {
        let mut table = ResultTable::new(&[
            "service",
            "class",
            "sent",
            "goodput_per_s",
            "p50_ms",
            "p99_ms",
            "p99.9_ms",
            "outcomes",
        ]);
        for (service, call_stats) in &self.services {
            let goodput = call_stats.good() as f64 / self.elapsed.as_secs_f64();
            table.push(vec![
                service.name.clone(),
                service.class.clone(),
                call_stats.total_calls().to_string(),
                format!("{goodput:.0}"),
                format_millis(call_stats.latency(0.5)),
                format_millis(call_stats.latency(0.99)),
                format_millis(call_stats.latency(0.999)),
                call_stats.outcome_summary(),
            ]);
        }
        table
    }

    /// Returns a line for the terminal by which to judge whether the result is valid: a late
    /// generator or skipped requests mean that the planned load was not sent.
    pub fn summary(&self) -> String {
        format!(
            "elapsed {:.1} s, generator at most {} ms late, {} requests skipped",
            self.elapsed.as_secs_f64(),
            format_millis(self.max_lateness),
            self.skipped
        )
    }
}
