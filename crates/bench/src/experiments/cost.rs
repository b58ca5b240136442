//! What one daemon adds to a direct connection.

use {
    super::closed_loop::{self, LoopResult},
    crate::{
        error::BenchError,
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::{ResultTable, millis},
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    std::time::Duration,
};

/// Measures added latency and requests per core of one daemon against a direct
/// connection to a backend stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct CostOptions {
    /// Numbers of connections.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 100, 1_000])]
    pub connections: Vec<usize>,
    /// Sizes of response bodies in bytes.
    #[arg(long, value_delimiter = ',', default_values_t = [1 << 10, 1 << 20])]
    pub sizes: Vec<usize>,
    /// Duration of each measurement.
    #[arg(long, default_value = "5s")]
    pub duration: TimeSpan,
    /// Slots and connections of the backend server.
    #[arg(long, default_value_t = 1_000)]
    pub slots: u32,
    /// Programs.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

impl CostOptions {
    /// Runs the experiment.
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
        let before = daemon.process.usage().processor;
        let routed = closed_loop::run(daemon.callers, &target, connections, duration).await;
        let processor = daemon.process.usage().processor.saturating_sub(before);
        let start = [size.to_string(), connections.to_string()];
        table.push(row(&start, "direct", &direct, None));
        let added = routed.tally.latency(0.5);
        let added = added.as_secs_f64() - direct.tally.latency(0.5).as_secs_f64();
        table.push(row(&start, "daemon", &routed, Some((added, processor))));
    }

    fn plan(&self) -> RegionPlan {
        let settings = BackendSettings {
            slots: self.slots,
            // Orders and direct connections need some, too.
            connections: self.slots * 2 + 100,
            no_ledger: true,
            ..BackendSettings::default()
        };
        let weight = 100;
        let service = ServicePlan {
            name: "raw".into(),
            routing: RoutingMode::Free,
            shards: 16,
            lines: "limits = { queue = 4096, timeout = \"30s\" }".into(),
            servers: vec![ServerPlan { weight, settings }],
        };
        RegionPlan {
            hosts: 1,
            zones: 1,
            services: vec![service],
        }
    }
}

/// Row of one measurement; `daemon` holds the added median in seconds and the
/// daemon's processor time.
fn row(
    start: &[String],
    path: &str,
    result: &LoopResult,
    daemon: Option<(f64, Duration)>,
) -> Vec<String> {
    let mut row = start.to_vec();
    row.push(path.into());
    row.push(format!("{:.0}", result.rate()));
    row.push(millis(result.tally.latency(0.5)));
    row.push(millis(result.tally.latency(0.99)));
    match daemon {
        Some((added, processor)) => {
            let processor = processor.as_secs_f64();
            row.push(format!("{:.2}", added * 1_000.0));
            row.push(format!("{:.2}", processor / result.elapsed.as_secs_f64()));
            row.push(format!("{:.0}", result.tally.good() as f64 / processor));
        }
        None => row.extend(["-", "-", "-"].map(str::to_owned)),
    }
    row.push(result.tally.outcome_line());
    row
}
