//! Experiment: how long keys are unavailable after the loss of servers and hosts.

use {
    super::GapProbe,
    crate::{
        error::BenchError,
        region::{BenchRegion, ProgramOptions, RegionPlan, ServerPlan, ServicePlan},
        report::{ResultTable, format_millis},
    },
    camphorcove_core::conf::{RoutingMode, TimeSpan},
    camphorcove_standin::backend::BackendSettings,
    tokio::time::sleep,
};

/// Name of the measured service.
const SERVICE: &str = "ledig";

/// A key counts as affected if the time without an answer is at least this multiple of
/// the probe interval; shorter gaps also occur without a loss.
const AFFECTED_FACTOR: u32 = 10;

/// Measures how long keys are unavailable to callers after a kill of a server, of a
/// host other than the controller, of the controller, and of the controller and a
/// server together.
#[derive(Clone, Debug, clap::Args)]
pub struct FailoverOptions {
    /// Number of hosts.
    #[arg(long, default_value_t = 5)]
    pub hosts: usize,
    /// Number of backend servers.
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Number of keys that are probed.
    #[arg(long, default_value_t = 100)]
    pub keys: usize,
    /// Time between two probes of a key.
    #[arg(long, default_value = "20ms")]
    pub spacing: TimeSpan,
    /// Time a probe waits for its answer.
    #[arg(long, default_value = "1s")]
    pub timeout: TimeSpan,
    /// Time to probe before the loss.
    #[arg(long, default_value = "3s")]
    pub before: TimeSpan,
    /// Time to probe after the loss.
    #[arg(long, default_value = "12s")]
    pub after: TimeSpan,
    /// Number of repetitions of each loss, each in a new region.
    #[arg(long, default_value_t = 3)]
    pub rounds: usize,
    /// Paths of the programs that are run.
    #[command(flatten)]
    pub programs: ProgramOptions,
}

/// What is killed; the name is printed in the results.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The first server.
    Server,
    /// A host that does not control the service, but forwards requests to some of its servers.
    Host,
    /// The host that controls the service.
    Controller,
    /// The first server and the host that controls the service.
    Both,
}

impl FailoverOptions {
    /// Measures every loss; prints each row when it is measured.
    pub async fn run(&self) -> Result<ResultTable, BenchError> {
        let mut table = ResultTable::new(&[
            "loss",
            "round",
            "keys",
            "affected",
            "median_affected_ms",
            "longest_ms",
            "longest_before_ms",
        ]);
        for loss in [Loss::Server, Loss::Host, Loss::Controller, Loss::Both] {
            for round in 1..=self.rounds {
                let row = self.measure(loss, round).await?;
                println!("{}", row.join(" "));
                table.push(row);
            }
        }
        Ok(table)
    }

    /// Measures one loss in a new region; returns the table row.
    async fn measure(&self, loss: Loss, round: usize) -> Result<Vec<String>, BenchError> {
        let mut region = BenchRegion::start(self.plan(), &self.programs).await?;
        let service = &region.plan.services[0];
        let targets = (0..self.keys).map(|key| service.path(&format!("key{key}")));
        let targets = targets.collect();
        let (spacing, timeout) = (self.spacing.duration(), self.timeout.duration());
        let probe = GapProbe::start(region.entries(), targets, spacing, timeout);
        sleep(self.before.duration()).await;
        let before = probe.take_gaps();
        inject_loss(&mut region, loss, &probe).await?;
        sleep(self.after.duration()).await;
        let mut affected = probe.take_gaps();
        let longest = affected.iter().max().copied().unwrap_or_default();
        affected.retain(|gap| *gap >= spacing * AFFECTED_FACTOR);
        affected.sort_unstable();
        let median = affected.get(affected.len() / 2).copied();
        Ok(vec![
            format!("{loss:?}").to_lowercase(),
            round.to_string(),
            self.keys.to_string(),
            affected.len().to_string(),
            median.map_or("-".into(), format_millis),
            format_millis(longest),
            format_millis(before.into_iter().max().unwrap_or_default()),
        ])
    }

    fn plan(&self) -> RegionPlan {
        let settings = BackendSettings {
            slots: 64,
            connections: 120,
            no_ledger: true,
            ..BackendSettings::default()
        };
        let weight = 100;
        let server = ServerPlan { weight, settings };
        let service = ServicePlan {
            name: SERVICE.into(),
            routing: RoutingMode::Keyed,
            shards: 4_096,
            extra_config: String::new(),
            servers: vec![server; self.servers],
        };
        RegionPlan {
            hosts: self.hosts,
            zones: 3,
            services: vec![service],
        }
    }
}

/// Kills the processes of a loss. A killed host is first removed from the hosts that probes
/// are sent to, as a load balancer would do.
async fn inject_loss(
    region: &mut BenchRegion,
    loss: Loss,
    probe: &GapProbe,
) -> Result<(), BenchError> {
    let controller = region.controller(SERVICE).await?;
    if matches!(loss, Loss::Server | Loss::Both) {
        region.servers[0][0].process.kill();
    }
    let host = match loss {
        Loss::Server => return Ok(()),
        Loss::Host => (controller + 1) % region.daemons.len(),
        Loss::Controller | Loss::Both => controller,
    };
    let mut lost = region.daemons.remove(host);
    probe.set_entries(region.entries());
    lost.process.kill();
    Ok(())
}
