//! Experiment: load balance over servers of different speeds.

use {
    crate::{
        error::BenchError,
        load::{self, LoadPlan, ServiceLoad},
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::{ResultTable, format_millis},
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    std::net::SocketAddr,
};

/// Name of the measured service.
const SERVICE: &str = "boka";

/// Speeds of the servers in percent, assigned in turn: every second server is slow.
const SPEEDS: [u32; 2] = [100, 25];

/// Weight of all servers when weights are equal.
const EQUAL_WEIGHT: u32 = 100;

/// Compares imbalance and latency over servers whose speeds differ by 1:4, in three
/// variants: weights that match the speeds, equal weights, and callers that spread
/// their requests evenly over the servers without a router.
#[derive(Clone, Debug, clap::Args)]
pub struct BalanceOptions {
    /// Number of hosts.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Number of backend servers; every second one is slow.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Number of requests that each server processes at once (its slots).
    #[arg(long, default_value_t = 3)]
    pub slots: u32,
    /// Time a fast server takes for a request, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub work_ms: u64,
    /// Loads to measure, as fractions of the total capacity of all servers.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8])]
    pub loads: Vec<f64>,
    /// Duration of each measurement.
    #[arg(long, default_value = "15s")]
    pub duration: TimeSpan,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Paths of the programs that are run.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

/// How requests are distributed; the name is printed in the results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Through the router, with weights proportional to the speeds.
    MatchingWeights,
    /// Through the router, with equal weights.
    EqualWeights,
    /// Straight to the servers, each with the same number of requests on average.
    Direct,
}

impl BalanceOptions {
    /// Measures every variant at every load, each in a new region.
    pub async fn run(&self) -> Result<ResultTable, BenchError> {
        let mut table = ResultTable::new(&[
            "variant",
            "load",
            "imbalance",
            "goodput_per_s",
            "p50_ms",
            "p99_ms",
            "outcomes",
        ]);
        for variant in [
            Variant::MatchingWeights,
            Variant::EqualWeights,
            Variant::Direct,
        ] {
            for load in &self.loads {
                table.push(self.measure(variant, *load).await?);
            }
        }
        Ok(table)
    }

    /// Measures a variant at a fraction of the total capacity; returns the table row.
    async fn measure(&self, variant: Variant, share: f64) -> Result<Vec<String>, BenchError> {
        let region = BenchRegion::start(self.plan(variant), &self.programs).await?;
        let entries = match variant {
            Variant::Direct => server_addresses(&region),
            Variant::MatchingWeights | Variant::EqualWeights => region.entries(),
        };
        let before = completed(&region).await?;
        let plan = LoadPlan {
            rate: self.capacity() * share,
            duration: self.duration,
            seed: self.seed,
            ..LoadPlan::default()
        };
        let path = format!("/{SERVICE}/{{key}}?size=1024");
        let services = [ServiceLoad::get(SERVICE, &path)];
        let result = load::run(&entries, &services, &plan).await;
        let after = completed(&region).await?;
        let call_stats = &result.services[0].1;
        let completed_requests = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after - before);
        let goodput = call_stats.good() as f64 / result.elapsed.as_secs_f64();
        Ok(vec![
            format!("{variant:?}"),
            format!("{share}"),
            format!("{:.2}", imbalance(completed_requests)),
            format!("{goodput:.0}"),
            format_millis(call_stats.latency(0.5)),
            format_millis(call_stats.latency(0.99)),
            call_stats.outcome_summary(),
        ])
    }

    /// Requests per second that all servers together can process.
    fn capacity(&self) -> f64 {
        let fast = f64::from(self.slots) * 1_000.0 / self.work_ms as f64;
        let speeds = (0..self.servers).map(|number| f64::from(speed(number)) / 100.0);
        fast * speeds.sum::<f64>()
    }

    fn plan(&self, variant: Variant) -> RegionPlan {
        let mut servers = Vec::new();
        for number in 0..self.servers {
            let settings = BackendSettings {
                slots: self.slots,
                connections: 120,
                service_us: self.work_ms * 1_000,
                speed: speed(number),
                no_ledger: true,
                ..BackendSettings::default()
            };
            let weight = match variant {
                Variant::MatchingWeights => speed(number),
                Variant::EqualWeights | Variant::Direct => EQUAL_WEIGHT,
            };
            servers.push(ServerPlan { weight, settings });
        }
        let service = ServicePlan {
            name: SERVICE.into(),
            routing: RoutingMode::Free,
            shards: 16,
            extra_config: String::new(),
            servers,
        };
        RegionPlan {
            hosts: self.hosts,
            zones: 3,
            services: vec![service],
        }
    }
}

/// Speed of a server in percent.
fn speed(number: usize) -> u32 {
    SPEEDS[number % SPEEDS.len()]
}

fn server_addresses(region: &BenchRegion) -> Vec<SocketAddr> {
    let servers = region.servers[0].iter();
    servers.map(|server| server.address).collect()
}

/// Number of requests that each server has completed so far.
async fn completed(region: &BenchRegion) -> Result<Vec<u64>, BenchError> {
    let mut counts = Vec::new();
    for server in &region.servers[0] {
        counts.push(server.stats().await?.completed);
    }
    Ok(counts)
}

/// Load of the most loaded server divided by the mean load, where a server's load
/// is its completed requests divided by its speed; 1 is perfect balance.
fn imbalance(completed_requests: impl Iterator<Item = u64>) -> f64 {
    let loads: Vec<f64> = completed_requests
        .enumerate()
        .map(|(number, completed_requests)| completed_requests as f64 / f64::from(speed(number)))
        .collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}
