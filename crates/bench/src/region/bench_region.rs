//! A running region.

use {
    super::{
        BackendProcess, DaemonPlan, DaemonProcess, PlatformProcess, ProgramOptions, RegionPlan,
        region_plan::zone_name, wait_for,
    },
    crate::{
        error::{BenchError, CallFailedSnafu, NotWrittenSnafu},
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

/// Keys that must be served before a region counts as ready.
const READY_KEYS: usize = 40;

/// Time a caller waits for an answer while the region starts.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A platform, backend servers and daemons; all end when this is dropped.
#[derive(Debug)]
pub struct BenchRegion {
    /// What it consists of.
    pub plan: RegionPlan,
    /// The platform.
    pub platform: PlatformProcess,
    /// Servers by service.
    pub servers: Vec<Vec<BackendProcess>>,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    folder: PathBuf,
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
            folder: new_folder()?,
        };
        region.apply_config().await?;
        for number in 0..region.plan.hosts {
            region.start_daemon(number, programs).await?;
        }
        region.wait_ready().await?;
        Ok(region)
    }

    /// Where callers connect.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.callers).collect()
    }

    /// Number of the daemon that controls a service.
    pub async fn controller(&self, service: &str) -> Result<usize, BenchError> {
        let prefix = format!("camphorcove_scope_controller{{service=\"{service}\"}}");
        wait_for(&format!("a controller of {service}"), || async {
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
                        let outcome = caller.get(daemon.callers, &target).await;
                        outcome.is_good().then_some(())
                    })
                    .await?;
                }
            }
        }
        Ok(())
    }

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

    async fn start_daemon(
        &mut self,
        number: usize,
        programs: &ProgramOptions,
    ) -> Result<(), BenchError> {
        let plan = DaemonPlan {
            host: format!("host-{number}"),
            zone: zone_name(number % self.plan.zones),
            folder: self.folder.clone(),
            platform: self.platform.address,
        };
        self.daemons.push(plan.start(programs).await?);
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .filter_map(DaemonProcess::listed)
            .collect();
        self.platform.set_hosts(&hosts).await
    }
}

impl Drop for BenchRegion {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::thread::panicking() {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            log::debug!("cannot remove {}: {error}", self.folder.display());
        }
    }
}

fn new_folder() -> Result<PathBuf, BenchError> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let number = now.unwrap_or_default().as_nanos();
    let name = format!("camphorcove-bench-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).context(NotWrittenSnafu {
        path: folder.display().to_string(),
    })?;
    Ok(folder)
}
