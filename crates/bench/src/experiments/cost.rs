//! Experiment: cost of one daemon compared with a direct connection.

use {
    super::closed_loop::{self, ClosedLoopResult},
    crate::{
        error::BenchError,
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::{ResultTable, format_millis},
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    std::time::Duration,
};

/// Measures the latency that one daemon adds to a direct connection to a simulated
/// backend server, and the requests it forwards per second of processor time.
#[derive(Clone, Debug, clap::Args)]
pub struct CostOptions {
    /// Numbers of connections to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 100, 1_000])]
    pub connections: Vec<usize>,
    /// Sizes of response bodies to measure, in bytes.
    #[arg(long, value_delimiter = ',', default_values_t = [1 << 10, 1 << 20])]
    pub sizes: Vec<usize>,
    /// Duration of each measurement.
    #[arg(long, default_value = "5s")]
    pub duration: TimeSpan,
    /// Number of requests that the backend server processes at once (its slots); it accepts
    /// twice as many connections and 100 more.
    #[arg(long, default_value_t = 1_000)]
    pub slots: u32,
    /// Paths of the programs that are run.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

impl CostOptions {
    /// Measures every combination of size and connections in one region.
    pub async fn run(&self) -> Result<ResultTable, BenchError> {
        let region = BenchRegion::start(self.plan(), &self.programs).await?;
        let mut table = ResultTable::new(&[
            "body",
            "connections",
            "path",
            "requests_per_s",
            "p50_ms",
            "p99_ms",
            "added_p50_ms",
            "daemon_cores",
            "requests_per_core_s",
            "outcomes",
        ]);
        for size in &self.sizes {
            for connections in &self.connections {
                self.measure(&region, *size, *connections, &mut table).await;
            }
        }
        Ok(table)
    }

    /// Runs the same load directly and through the daemon, and adds a row for each.
    async fn measure(
        &self,
        region: &BenchRegion,
        size: usize,
        connections: usize,
        table: &mut ResultTable,
    ) {
        let target = format!("/raw/key?size={size}");
        let duration = self.duration.duration();
        let server = region.servers[0][0].address;
        let direct = closed_loop::run(server, &target, connections, duration).await;
        let daemon = &region.daemons[0];
        let before = daemon.process.usage().cpu_time;
        let routed = closed_loop::run(daemon.caller_address, &target, connections, duration).await;
        let cpu_time = daemon.process.usage().cpu_time.saturating_sub(before);
        let start = [size.to_string(), connections.to_string()];
        table.push(row(&start, "direct", &direct, None));
        let added = routed.call_stats.latency(0.5);
        let added = added.as_secs_f64() - direct.call_stats.latency(0.5).as_secs_f64();
        table.push(row(&start, "daemon", &routed, Some((added, cpu_time))));
    }

    fn plan(&self) -> RegionPlan {
        let settings = BackendSettings {
            slots: self.slots,
            // The controller's orders and the direct callers also need connections.
            connections: self.slots * 2 + 100,
            no_ledger: true,
            ..BackendSettings::default()
        };
        let weight = 100;
        let service = ServicePlan {
            name: "raw".into(),
            routing: RoutingMode::Free,
            shards: 16,
            extra_config: "limits = { queue = 4096, timeout = \"30s\" }".into(),
            servers: vec![ServerPlan { weight, settings }],
        };
        RegionPlan {
            hosts: 1,
            zones: 1,
            services: vec![service],
        }
    }
}

/// Returns the row of one measurement. `start` holds its first cells. `daemon` holds the
/// added median latency in seconds and the daemon's processor time; `None` for a direct
/// connection.
fn row(
    start: &[String],
    path: &str,
    result: &ClosedLoopResult,
    daemon: Option<(f64, Duration)>,
) -> Vec<String> {
    let mut row = start.to_vec();
    row.push(path.into());
    row.push(format!("{:.0}", result.rate()));
    row.push(format_millis(result.call_stats.latency(0.5)));
    row.push(format_millis(result.call_stats.latency(0.99)));
    match daemon {
        Some((added, cpu_time)) => {
            let cpu_time = cpu_time.as_secs_f64();
            row.push(format!("{:.2}", added * 1_000.0));
            row.push(format!("{:.2}", cpu_time / result.elapsed.as_secs_f64()));
            row.push(format!("{:.0}", result.call_stats.good() as f64 / cpu_time));
        }
        None => row.extend(["-", "-", "-"].map(str::to_owned)),
    }
    row.push(result.call_stats.outcome_summary());
    row
}
