//! A region running as processes on this machine.

use {
    super::{
        BackendProcess, DaemonPlan, DaemonProcess, PlatformProcess, ProgramOptions, RegionPlan,
        region_plan::zone_name, wait_for,
    },
    crate::{
        error::{BenchError, CallFailedSnafu, WriteFailedSnafu},
        load::Caller,
    },
    camphorcove_net::config::{Author, ConfigRepo},
    snafu::ResultExt,
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Number of keys of each service that every daemon must serve before a region counts as
/// ready.
const READY_KEYS: usize = 40;

/// Time a caller waits for an answer while the region starts.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A running platform, backend servers and daemons; dropping it kills all processes and
/// deletes their settings and logs.
#[derive(Debug)]
pub struct BenchRegion {
    /// Plan that the region was started from.
    pub plan: RegionPlan,
    /// Simulated platform.
    pub platform: PlatformProcess,
    /// Backend servers of each service, in the order of the plan.
    pub servers: Vec<Vec<BackendProcess>>,
    /// Daemons, one per host.
    pub daemons: Vec<DaemonProcess>,
    /// Temporary directory with settings and logs of the daemons.
    work_dir: PathBuf,
}

impl BenchRegion {
    /// Starts a region and waits until every daemon serves every service.
    pub async fn start(plan: RegionPlan, programs: &ProgramOptions) -> Result<Self, BenchError> {
        let platform = PlatformProcess::start(programs)?;
        let mut servers = Vec::new();
        for service in &plan.services {
            let mut started = Vec::new();
            for server in &service.servers {
                started.push(BackendProcess::start(programs, &server.settings).await?);
            }
            servers.push(started);
        }
        let mut region = Self {
            plan,
            platform,
            servers,
            daemons: Vec::new(),
            work_dir: create_work_dir()?,
        };
        region.apply_config().await?;
        for number in 0..region.plan.hosts {
            region.start_daemon(number, programs).await?;
        }
        region.wait_ready().await?;
        Ok(region)
    }

    /// Returns the addresses where the hosts accept callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.caller_address).collect()
    }

    /// Waits until a daemon reports that it controls the service; returns its index in
    /// `daemons`.
    pub async fn controller(&self, service: &str) -> Result<usize, BenchError> {
        let prefix = format!("camphorcove_scope_controller{{service=\"{service}\"}}");
        wait_for(&format!("a host controls {service}"), || async {
            for (number, daemon) in self.daemons.iter().enumerate() {
                if daemon.metric(&prefix).await == Some(1.0) {
                    return Some(number);
                }
            }
            None
        })
        .await
    }

    /// Waits until every daemon serves every service.
    pub async fn wait_ready(&self) -> Result<(), BenchError> {
        let caller = Caller::new(1, READY_TIMEOUT);
        for daemon in &self.daemons {
            for service in &self.plan.services {
                for key in 0..READY_KEYS {
                    let target = service.path(&format!("key{key}"));
                    let what = format!("{} serves {target}", daemon.plan.host);
                    wait_for(&what, || async {
                        let outcome = caller.get(daemon.caller_address, &target).await;
                        outcome.is_good().then_some(())
                    })
                    .await?;
                }
            }
        }
        Ok(())
    }

    /// Writes the region's configuration to the platform.
    async fn apply_config(&self) -> Result<(), BenchError> {
        let servers = self.servers.iter();
        let addresses: Vec<Vec<SocketAddr>> = servers
            .map(|servers| servers.iter().map(|server| server.address).collect())
            .collect();
        let repo = ConfigRepo::new(self.platform.client());
        let author = Author::now("camphorcove-bench", "measurement");
        let config = self.plan.config(&addresses);
        let applied = repo.apply(&config, None, &author).await;
        applied.map(|_| ()).map_err(|error| {
            let what = "applying the configuration";
            let reason = error.to_string();
            CallFailedSnafu { what, reason }.build()
        })
    }

    /// Starts the daemon of a host and adds it to the platform's host list.
    async fn start_daemon(
        &mut self,
        number: usize,
        programs: &ProgramOptions,
    ) -> Result<(), BenchError> {
        let plan = DaemonPlan {
            host: format!("host-{number}"),
            zone: zone_name(number % self.plan.zones),
            work_dir: self.work_dir.clone(),
            platform: self.platform.address,
        };
        self.daemons.push(plan.start(programs).await?);
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .filter_map(DaemonProcess::host_entry)
            .collect();
        self.platform.set_hosts(&hosts).await
    }
}

impl Drop for BenchRegion {
    fn drop(&mut self) {
        self.daemons.clear();
        // After a panic, the settings and logs are kept for diagnosis.
        if std::thread::panicking() {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.work_dir) {
            log::debug!(
                "cannot remove the temporary directory {}: {error}",
                self.work_dir.display()
            );
        }
    }
}

/// Creates a directory for the daemons' files below the system's temporary directory.
fn create_work_dir() -> Result<PathBuf, BenchError> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let number = now.unwrap_or_default().as_nanos();
    let name = format!("camphorcove-bench-{}-{number}", std::process::id());
    let work_dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&work_dir).context(WriteFailedSnafu {
        path: work_dir.display().to_string(),
    })?;
    Ok(work_dir)
}
