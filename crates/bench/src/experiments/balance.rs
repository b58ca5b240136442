//! Balance over servers of different speed.

use {
    crate::{
        error::BenchError,
        load::{self, LoadPlan, ServiceLoad},
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::{ResultTable, millis},
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    std::net::SocketAddr,
};

/// Service of the region.
const SERVICE: &str = "boka";

/// Speeds of fast and of slow servers, in percent.
const SPEEDS: [u32; 2] = [100, 25];

/// Weight of an ordinary server.
const ORDINARY_WEIGHT: u32 = 100;

/// Compares imbalance and latency with servers 1:4 apart in speed: configured
/// weights that match the speeds, equal weights, and callers that spread their
/// requests evenly over the servers without a router.
#[derive(Clone, Debug, clap::Args)]
pub struct BalanceOptions {
    /// Number of hosts.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Number of backend servers; every second one is slow.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Slots of each server.
    #[arg(long, default_value_t = 3)]
    pub slots: u32,
    /// Time a fast server takes for a request, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub work_ms: u64,
    /// Load as shares of the capacity of all servers.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8])]
    pub loads: Vec<f64>,
    /// Duration of each measurement.
    #[arg(long, default_value = "15s")]
    pub duration: TimeSpan,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Programs.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    MatchingWeights,
    EqualWeights,
    Direct,
}

impl BalanceOptions {
    /// Runs the experiment.
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
        let tally = &result.services[0].1;
        let runs = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after - before);
        let goodput = tally.good() as f64 / result.elapsed.as_secs_f64();
        Ok(vec![
            format!("{variant:?}"),
            format!("{share}"),
            format!("{:.2}", imbalance(runs)),
            format!("{goodput:.0}"),
            millis(tally.latency(0.5)),
            millis(tally.latency(0.99)),
            tally.outcome_line(),
        ])
    }

    /// Requests per second that all servers can run.
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
                Variant::EqualWeights | Variant::Direct => ORDINARY_WEIGHT,
            };
            servers.push(ServerPlan { weight, settings });
        }
        let service = ServicePlan {
            name: SERVICE.into(),
            routing: RoutingMode::Free,
            shards: 16,
            lines: String::new(),
            servers,
        };
        RegionPlan {
            hosts: self.hosts,
            zones: 3,
            services: vec![service],
        }
    }
}

fn speed(number: usize) -> u32 {
    SPEEDS[number % SPEEDS.len()]
}

fn server_addresses(region: &BenchRegion) -> Vec<SocketAddr> {
    let servers = region.servers[0].iter();
    servers.map(|server| server.address).collect()
}

async fn completed(region: &BenchRegion) -> Result<Vec<u64>, BenchError> {
    let mut counts = Vec::new();
    for server in &region.servers[0] {
        counts.push(server.stats().await?.completed);
    }
    Ok(counts)
}

/// Load of the most loaded server relative to the mean, each server's load
/// being its runs divided by its speed; 1 is perfect.
fn imbalance(runs: impl Iterator<Item = u64>) -> f64 {
    let loads: Vec<f64> = runs
        .enumerate()
        .map(|(number, runs)| runs as f64 / f64::from(speed(number)))
        .collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}
