//! Runs the example region on a platform stand-in and backend stand-ins.

use {
    crate::{
        demo_error::{ApplySnafu, DemoError, ListenSnafu},
        demo_keys::DemoKeys,
    },
    camphorcove_core::conf::{FencingMode, RegionConfig, ServiceConfig, TimeSpan, parse},
    camphorcove_net::config::{Author, ConfigRepo, RepoError},
    camphorcove_standin::{
        backend::{BackendOptions, BackendSettings, BackendStandin},
        http::ANY_PORT,
        platform::PlatformStandin,
    },
    camphorcoved::conf::DaemonSettings,
    log::LevelFilter,
    snafu::ResultExt,
    std::net::SocketAddr,
};

/// Configuration of the region that the quick start serves.
const EXAMPLE: &str = include_str!("../../../examples/stockholm.toml");

/// Service time of a request at a backend server with weight 100, in microseconds.
const SERVICE_US: u64 = 2_000;

/// The example region with its running stand-ins, which stop when it is dropped.
#[derive(Debug)]
pub struct DemoRegion {
    config: RegionConfig,
    keys: DemoKeys,
    platform: PlatformStandin,
    servers: Vec<BackendStandin>,
}

impl DemoRegion {
    /// Starts the stand-ins and applies the example configuration.
    pub async fn start() -> Result<Self, DemoError> {
        let platform = PlatformStandin::on_any_port()
            .await
            .context(ListenSnafu { address: ANY_PORT })?;
        let config = parse("stockholm.toml", EXAMPLE)
            .map_err(|faults| RepoError::Invalid { faults })
            .context(ApplySnafu)?;
        let mut servers = Vec::new();
        for service in &config.services {
            start_servers(service, &mut servers).await?;
        }
        let author = Author::now("demo", "quick start");
        ConfigRepo::new(platform.client())
            .apply(EXAMPLE, None, &author)
            .await
            .context(ApplySnafu)?;
        Ok(Self {
            config,
            keys: DemoKeys::create()?,
            platform,
            servers,
        })
    }

    /// Daemon settings of the single host.
    pub fn settings(&self, callers: SocketAddr, operators: SocketAddr) -> DaemonSettings {
        let host: camphorcove_core::ids::HostId = "demo-1".parse().expect("a valid name");
        let zone = self.config.zones[0].clone();
        DaemonSettings {
            host,
            region: self.config.region.clone(),
            zone,
            callers,
            peers: ANY_PORT,
            peers_announced: None,
            operators,
            platform: self.platform.address(),
            peer_key_file: self.keys.peer_file(),
            operator_keys_file: Some(self.keys.operators_file()),
            seeds: Vec::new(),
            log_level: LevelFilter::Warn,
            shutdown_limit: TimeSpan(5_000),
        }
    }

    /// Text printed at the start: the services, and example commands to try.
    pub fn introduction(&self, settings: &DaemonSettings) -> String {
        let (callers, operators) = (settings.callers, settings.operators);
        let secret = self.keys.secret_file();
        let services = self.config.services.iter().map(|service| {
            format!(
                "  http://{callers}{}  {} servers, {}\n",
                service.path_prefix,
                service.servers.len(),
                service.routing
            )
        });
        format!(
            "Region {} with {} backend servers; platform at {}.\n\n\
             Services:\n{}\n\
             Try:\n  curl -i -d hello http://{callers}/ledig/raft-17\n\n\
             As an operator, in another terminal:\n  \
             export CAMPHORCOVE_ADDRESSES={operators} CAMPHORCOVE_KEY_ID=demo \
             CAMPHORCOVE_KEY_FILE={}\n  \
             cargo run --bin camphorcove -- owner ledig raft-17\n",
            self.config.region,
            self.servers.len(),
            self.platform.address(),
            services.collect::<String>(),
            secret.display(),
        )
    }
}

async fn start_servers(
    service: &ServiceConfig,
    servers: &mut Vec<BackendStandin>,
) -> Result<(), DemoError> {
    for server in &service.servers {
        let settings = BackendSettings {
            unchecked: service.fencing == FencingMode::Unchecked,
            slots: server.slots,
            connections: server.connections,
            service_us: SERVICE_US,
            speed: server.weight,
            ..BackendSettings::default()
        };
        let options = BackendOptions {
            listen: server.address,
            settings,
            ..BackendOptions::default()
        };
        let address = server.address;
        let standin = BackendStandin::start(options)
            .await
            .context(ListenSnafu { address })?;
        servers.push(standin);
    }
    Ok(())
}
