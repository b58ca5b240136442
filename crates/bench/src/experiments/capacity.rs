//! Experiment: resources that hosts use without requests.

use {
    crate::{
        error::BenchError,
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::ResultTable,
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    std::time::Instant,
    tokio::time::sleep,
};

/// Counter of control-plane bytes exchanged with other hosts.
const CONTROL_BYTES: &str = "camphorcove_peer_control_bytes_total";

/// Counter of calls to the platform.
const PLATFORM_CALLS: &str = "camphorcove_platform_calls_total";

/// Measures processor time, memory and control traffic of hosts without requests, for several
/// numbers of hosts. The slopes (growth of a cost with the number of hosts) in
/// docs/CAPACITY.md are computed from its results.
#[derive(Clone, Debug, clap::Args)]
pub struct CapacityOptions {
    /// Numbers of hosts to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 6, 12])]
    pub hosts: Vec<usize>,
    /// Number of keyed services.
    #[arg(long, default_value_t = 2)]
    pub services: usize,
    /// Backend servers of each service.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Shards of each service.
    #[arg(long, default_value_t = 4_096)]
    pub shards: u32,
    /// Time from when the region is ready until the measurement starts.
    #[arg(long, default_value = "5s")]
    pub settle: TimeSpan,
    /// Duration of each measurement.
    #[arg(long, default_value = "20s")]
    pub duration: TimeSpan,
    /// Paths of the programs that are run.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

/// Resources that one host has used since its start.
#[derive(Clone, Copy, Default)]
struct HostCounters {
    /// Processor time in seconds.
    cpu_time: f64,
    /// Current resident memory in kilobytes.
    resident_kb: u64,
    control_bytes: f64,
    platform_calls: f64,
}

impl CapacityOptions {
    /// Measures a new region for every number of hosts; prints each row when it is measured.
    pub async fn run(&self) -> Result<ResultTable, BenchError> {
        let mut table = ResultTable::new(&[
            "hosts",
            "services",
            "shards",
            "core_percent_mean",
            "core_percent_max",
            "resident_mb_max",
            "control_bytes_per_s_mean",
            "control_bytes_per_s_max",
            "platform_calls_per_s",
        ]);
        for hosts in &self.hosts {
            let row = self.measure(*hosts).await?;
            println!("{}", row.join(" "));
            table.push(row);
        }
        Ok(table)
    }

    /// Starts a region and reads its counters at the start and the end of the measurement;
    /// returns the table row.
    async fn measure(&self, hosts: usize) -> Result<Vec<String>, BenchError> {
        let region = BenchRegion::start(self.plan(hosts), &self.programs).await?;
        sleep(self.settle.duration()).await;
        let started = Instant::now();
        let before = host_counters(&region).await;
        sleep(self.duration.duration()).await;
        let after = host_counters(&region).await;
        let seconds = started.elapsed().as_secs_f64();
        let per_second = |value: fn(&HostCounters) -> f64| -> Vec<f64> {
            let pairs = after.iter().zip(&before);
            let rates = pairs.map(|(after, before)| (value(after) - value(before)) / seconds);
            rates.collect()
        };
        let cores = per_second(|host| host.cpu_time * 100.0);
        let bytes = per_second(|host| host.control_bytes);
        let calls = per_second(|host| host.platform_calls);
        let resident = after.iter().map(|host| host.resident_kb).max();
        Ok(vec![
            hosts.to_string(),
            self.services.to_string(),
            self.shards.to_string(),
            format!("{:.2}", mean(&cores)),
            format!("{:.2}", max(&cores)),
            format!("{:.1}", resident.unwrap_or_default() as f64 / 1_024.0),
            format!("{:.0}", mean(&bytes)),
            format!("{:.0}", max(&bytes)),
            format!("{:.1}", calls.iter().sum::<f64>()),
        ])
    }

    fn plan(&self, hosts: usize) -> RegionPlan {
        let settings = BackendSettings {
            no_ledger: true,
            ..BackendSettings::default()
        };
        let weight = 100;
        let server = ServerPlan { weight, settings };
        let service = |number: usize| ServicePlan {
            name: format!("service-{number}"),
            routing: RoutingMode::Keyed,
            shards: self.shards,
            extra_config: String::new(),
            servers: vec![server.clone(); self.servers],
        };
        RegionPlan {
            hosts,
            zones: 3,
            services: (0..self.services).map(service).collect(),
        }
    }
}

/// Reads the counters of all hosts; metrics that cannot be read count as 0.
async fn host_counters(region: &BenchRegion) -> Vec<HostCounters> {
    let mut hosts = Vec::new();
    for daemon in &region.daemons {
        let usage = daemon.process.usage();
        hosts.push(HostCounters {
            cpu_time: usage.cpu_time.as_secs_f64(),
            resident_kb: usage.resident_kb,
            control_bytes: daemon.metric(CONTROL_BYTES).await.unwrap_or_default(),
            platform_calls: daemon.metric(PLATFORM_CALLS).await.unwrap_or_default(),
        });
    }
    hosts
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
