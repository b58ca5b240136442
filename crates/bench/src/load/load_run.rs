//! Runs a load.
//!
//! Requests start at their planned times whether or not earlier ones have been
//! answered, and latencies count from the planned times. A slow router
//! therefore cannot slow the generator down and hide its own delays.

use {
    super::{Arrivals, Caller, KeySampler, LoadPlan, ServiceLoad},
    crate::report::{CallOutcome, CallTally, ResultTable, millis},
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

/// Result of a load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Services in the order of their options, with their calls.
    pub services: Vec<(ServiceLoad, CallTally)>,
    /// Time from the first planned request to the last answer.
    pub elapsed: Duration,
    /// Requests not sent because too many were in flight.
    pub skipped: u64,
    /// Longest time by which the generator itself was late.
    pub lateness: Duration,
}

/// One call that ended.
struct Sample {
    service: usize,
    outcome: CallOutcome,
    latency: Duration,
}

/// Generates a load and waits for all answers.
pub async fn run(entries: &[SocketAddr], services: &[ServiceLoad], plan: &LoadPlan) -> LoadResult {
    let started = Instant::now();
    let (samples, mut received) = mpsc::unbounded_channel();
    let pacer = Pacer {
        caller: Caller::new(plan.in_flight, plan.timeout.duration()),
        entries: entries.to_vec(),
        services: services.to_vec(),
        plan: plan.clone(),
        in_flight: Arc::default(),
        samples,
    };
    let runtime = Handle::current();
    // A thread of its own, because the runtime's timers are only exact to 1 ms.
    let pacing = thread::spawn(move || pacer.run(&runtime, started));
    let mut tallies = vec![CallTally::default(); services.len()];
    while let Some(sample) = received.recv().await {
        tallies[sample.service].add(sample.outcome, sample.latency);
    }
    let (skipped, lateness) = pacing.join().unwrap_or_default();
    LoadResult {
        services: services.iter().cloned().zip(tallies).collect(),
        elapsed: started.elapsed(),
        skipped,
        lateness,
    }
}

struct Pacer {
    caller: Caller,
    entries: Vec<SocketAddr>,
    services: Vec<ServiceLoad>,
    plan: LoadPlan,
    in_flight: Arc<AtomicUsize>,
    samples: mpsc::UnboundedSender<Sample>,
}

impl Pacer {
    /// Starts all requests; returns how many were skipped and the longest lateness.
    fn run(self, runtime: &Handle, started: Instant) -> (u64, Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let sampler = KeySampler::new(self.plan.keys, self.plan.skew);
        let end = started + self.plan.duration.duration();
        let mut due = started;
        let mut skipped = 0;
        let mut lateness = Duration::ZERO;
        while due < end {
            let now = Instant::now();
            thread::sleep(due.saturating_duration_since(now));
            lateness = lateness.max(due.elapsed());
            if self.in_flight.load(Ordering::Relaxed) < self.plan.in_flight {
                self.start_one(runtime, &sampler, &mut rng, due);
            } else {
                skipped += 1;
            }
            due += self.gap(&mut rng);
        }
        (skipped, lateness)
    }

    fn start_one(
        &self,
        runtime: &Handle,
        sampler: &KeySampler,
        rng: &mut ChaCha8Rng,
        due: Instant,
    ) {
        let service = self.draw_service(rng);
        let key = sampler.draw(rng);
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let Ok(request) = self.services[service].request(key, rng.random()) else {
            return;
        };
        let caller = self.caller.clone();
        let samples = self.samples.clone();
        let in_flight = self.in_flight.clone();
        in_flight.fetch_add(1, Ordering::Relaxed);
        runtime.spawn(async move {
            let outcome = caller.call(entry, request).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let latency = due.elapsed();
            // Fails only if nobody waits for the result any more.
            let _ = samples.send(Sample {
                service,
                outcome,
                latency,
            });
        });
    }

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

    fn gap(&self, rng: &mut ChaCha8Rng) -> Duration {
        let mean = 1.0 / self.plan.rate;
        let seconds = match self.plan.arrivals {
            Arrivals::Even => mean,
            Arrivals::Poisson => -mean * (1.0 - rng.random::<f64>()).ln(),
        };
        Duration::from_secs_f64(seconds)
    }
}

impl LoadResult {
    /// One row per service.
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
        for (service, tally) in &self.services {
            let goodput = tally.good() as f64 / self.elapsed.as_secs_f64();
            table.push(vec![
                service.name.clone(),
                service.class.clone(),
                tally.sent().to_string(),
                format!("{goodput:.0}"),
                millis(tally.latency(0.5)),
                millis(tally.latency(0.99)),
                millis(tally.latency(0.999)),
                tally.outcome_line(),
            ]);
        }
        table
    }

    /// What limits the result's meaning, for people.
    pub fn note(&self) -> String {
        format!(
            "elapsed {:.1} s, generator at most {} ms late, {} requests skipped",
            self.elapsed.as_secs_f64(),
            millis(self.lateness),
            self.skipped
        )
    }
}
