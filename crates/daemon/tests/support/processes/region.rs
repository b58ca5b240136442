//! Starts a region: a platform, backend servers and daemons.

use {
    super::{
        CallResult, CallerClient, DEADLINE, DaemonProcess, DaemonSetup, POLL_INTERVAL, wait_for,
    },
    camphorcove_core::{
        audit::{AuditAction, AuditRecord},
        ids::{FencingToken, ShardId},
    },
    camphorcove_net::{
        config::{Author, ConfigRepo, decode_record},
        platform::ListedHost,
    },
    camphorcove_standin::{
        backend::{BackendSettings, BackendStandin, GrantInterval, RequestRecord},
        platform::PlatformStandin,
        proxy::ProxyStandin,
    },
    camphorcoved::control::decode_scope,
    std::{
        collections::BTreeMap,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Owning server and fencing token by key.
pub type Owners = BTreeMap<String, (usize, FencingToken)>;

const ANY_PORT: &str = "127.0.0.1:0";

/// Size and options of a region.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    pub name: &'static str,
    pub daemons: usize,
    pub servers: usize,
    pub shards: u32,
    /// Lines that are added to the service's table in the configuration.
    pub service_lines: &'static str,
    pub backend: BackendSettings,
    /// Whether each daemon's peer port is behind a proxy that can inject faults.
    pub proxies: bool,
    /// Whether each server is behind a proxy that can inject faults.
    pub server_proxies: bool,
    pub shutdown_limit: &'static str,
}

impl RegionPlan {
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            daemons: 3,
            servers: 3,
            shards: 64,
            service_lines: "",
            backend: BackendSettings {
                slots: 64,
                ..BackendSettings::default()
            },
            proxies: false,
            server_proxies: false,
            shutdown_limit: "30s",
        }
    }
}

/// A running region with one keyed service, `rutas`.
#[derive(Debug)]
pub struct Region {
    pub plan: RegionPlan,
    pub platform: PlatformStandin,
    pub servers: Vec<BackendStandin>,
    pub daemons: Vec<DaemonProcess>,
    pub proxies: Vec<ProxyStandin>,
    pub server_proxies: Vec<ProxyStandin>,
    pub caller: CallerClient,
    directory: PathBuf,
}

/// Name of the region's service.
pub const SERVICE: &str = "rutas";

impl Region {
    /// Starts all processes and applies the configuration, without waiting until it is in force.
    pub async fn start(plan: RegionPlan) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("{}-{}", plan.name, std::process::id()));
        fs::create_dir_all(&directory).expect("directory");
        let platform = PlatformStandin::on_any_port().await.expect("platform");
        let mut servers = Vec::new();
        for _ in 0..plan.servers {
            let server = BackendStandin::with_settings(plan.backend.clone()).await;
            servers.push(server.expect("backend"));
        }
        let mut server_proxies = Vec::new();
        for server in servers.iter().filter(|_| plan.server_proxies) {
            let proxy = ProxyStandin::to(server.address()).await;
            server_proxies.push(proxy.expect("proxy"));
        }
        let mut region = Self {
            plan,
            platform,
            servers,
            daemons: Vec::new(),
            proxies: Vec::new(),
            server_proxies,
            caller: CallerClient::default(),
            directory,
        };
        region.apply(&region.config()).await;
        for number in 0..region.plan.daemons {
            region.start_daemon(number).await;
        }
        region
    }

    /// Starts a region and waits until every daemon answers requests for every key.
    pub async fn serving(plan: RegionPlan) -> Self {
        let region = Self::start(plan).await;
        region.wait_serving().await;
        region
    }

    /// Starts an additional daemon with the host id `host{number}`.
    pub async fn start_daemon(&mut self, number: usize) {
        let mut setup = DaemonSetup {
            host: format!("host{number}"),
            zone: zone(number).to_owned(),
            directory: self.directory.clone(),
            platform: self.platform.address(),
            peers: ANY_PORT.parse().expect("address"),
            announced: None,
            shutdown_limit: self.plan.shutdown_limit.to_owned(),
            seeds: Vec::new(),
        };
        if self.plan.proxies {
            // The daemon announces the proxy, which gets its target once the daemon listens.
            let proxy = ProxyStandin::to(setup.peers).await.expect("proxy");
            setup.announced = Some(proxy.address());
            self.proxies.push(proxy);
        }
        self.daemons.push(DaemonProcess::start(setup).await);
        self.update_proxy(number);
        self.update_host_list();
    }

    /// Kills a daemon and starts it again with the same host id. Ports may change.
    pub async fn restart_daemon(&mut self, number: usize) {
        self.daemons[number].kill();
        let setup = self.daemons[number].setup.clone();
        self.daemons[number] = DaemonProcess::start(setup).await;
        self.update_proxy(number);
        self.update_host_list();
    }

    /// Connects the proxy of a daemon, if there is one, to the port that the daemon listens on.
    fn update_proxy(&self, number: usize) {
        if let Some(proxy) = self.proxies.get(number) {
            proxy.set_target(self.daemons[number].peers);
        }
    }

    fn update_host_list(&self) {
        let hosts = self.daemons.iter().map(|daemon| ListedHost {
            id: daemon.host().parse().expect("host id"),
            peer: daemon.announced(),
            zone: daemon.setup.zone.parse().expect("zone"),
            leaving: false,
        });
        self.platform.set_hosts(hosts.collect());
    }

    /// Configuration that contains all servers.
    pub fn config(&self) -> String {
        let numbers: Vec<usize> = (0..self.servers.len()).collect();
        self.config_of(&numbers)
    }

    /// Configuration that contains only the servers with these numbers.
    pub fn config_of(&self, numbers: &[usize]) -> String {
        let mut text = format!(
            "region = \"test\"\nzones = [\"a\", \"b\", \"c\"]\n[[services]]\nname = \"{SERVICE}\"\n\
             shards = {}\nkey = {{ from = \"path\", segment = 0 }}\n{}\n",
            self.plan.shards, self.plan.service_lines
        );
        for number in numbers {
            text.push_str(&format!(
                "[[services.servers]]\nid = \"s{number}\"\naddress = \"{}\"\nzone = \"{}\"\n\
                 slots = 64\nconnections = 120\n",
                self.server_address(*number),
                zone(*number),
            ));
        }
        text
    }

    fn server_address(&self, number: usize) -> SocketAddr {
        match self.server_proxies.get(number) {
            Some(proxy) => proxy.address(),
            None => self.servers[number].address(),
        }
    }

    /// Applies a configuration on the platform.
    pub async fn apply(&self, text: &str) {
        let repo = ConfigRepo::new(self.platform.client());
        let author = Author::now("test", "test");
        repo.apply(text, None, &author).await.expect("apply");
    }

    /// Waits until every daemon answers requests for every key of [`keys`].
    pub async fn wait_serving(&self) {
        for daemon in &self.daemons {
            self.wait_serving_at(daemon).await;
        }
    }

    pub async fn wait_serving_at(&self, daemon: &DaemonProcess) {
        for key in keys() {
            let end = tokio::time::Instant::now() + DEADLINE;
            loop {
                let result = self.caller.get(daemon.callers, &key).await;
                if result.as_ref().is_ok_and(CallResult::answered) {
                    break;
                }
                assert!(
                    tokio::time::Instant::now() < end,
                    "{} does not serve {key}: {result:?}",
                    daemon.host()
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sends a request and returns the server that ran it, with the server's record of it;
    /// `None` if the request was not answered.
    pub async fn owner_of(
        &self,
        daemon: &DaemonProcess,
        key: &str,
    ) -> Option<(usize, RequestRecord)> {
        let id = format!("probe-{:x}", random_id());
        let sent = self
            .caller
            .send(daemon.callers, "GET", key, Some(&id))
            .await;
        if !sent.is_ok_and(|result| result.answered()) {
            return None;
        }
        for (number, server) in self.servers.iter().enumerate() {
            let ledger = server.ledger();
            let mut ledger = ledger.into_iter();
            let run = ledger.find(|entry| entry.request_id.as_deref() == Some(&id));
            if let Some(run) = run {
                return Some((number, run));
            }
        }
        None
    }

    /// Owner and token of every key as routed by one daemon.
    pub async fn owners(&self, daemon: &DaemonProcess) -> Owners {
        let mut owners = Owners::new();
        for key in keys() {
            let (owner, run) = wait_for(&key, || self.owner_of(daemon, &key)).await;
            owners.insert(key, (owner, run.token.expect("token")));
        }
        owners
    }

    /// Owner changes in the audit log: old server, new server and reason.
    pub fn owner_changes(&self) -> Vec<[String; 3]> {
        let scope = self.platform.object(&format!("scope/{SERVICE}"));
        let state = decode_scope(&scope.expect("scope object").1).expect("scope object decodes");
        // Records are removed from the scope object only after they have been archived.
        let archived = (1..).map_while(|number| {
            let object = self.platform.object(&format!("audit/{SERVICE}/{number}"))?;
            Some(decode_record(&object.1).expect("record"))
        });
        let mut records: Vec<AuditRecord> = archived.collect();
        let newest = records.last().map_or(0, |record| record.number);
        let unarchived = state.records.into_iter();
        records.extend(unarchived.filter(|record| record.number > newest));
        let mut changes = Vec::new();
        for record in records {
            if let AuditAction::Ownership { moves } = record.action {
                changes.extend(moves.iter().map(|line| parse_owner_change(line)));
            }
        }
        changes
    }

    /// Waits for a controller of the service and returns the index of its daemon.
    pub async fn controller(&self) -> usize {
        wait_for("a controller", || async {
            for (number, daemon) in self.daemons.iter().enumerate() {
                if daemon.controls(SERVICE).await {
                    return Some(number);
                }
            }
            None
        })
        .await
    }

    /// Fails if a server started a request for a shard after a later owner had started one.
    pub fn assert_runs_in_token_order(&self) {
        let ledgers = self.servers.iter().map(BackendStandin::ledger);
        let mut runs: Vec<RequestRecord> = ledgers.flatten().collect();
        runs.sort_by_key(|run| (run.shard, run.started));
        for pair in runs.windows(2) {
            let in_order = pair[0].shard != pair[1].shard || pair[0].token <= pair[1].token;
            assert!(in_order, "{:?} after {:?}", pair[1], pair[0]);
        }
    }

    /// Fails if two servers held a grant for one shard at the same time, or if a later owner did
    /// not have a higher token.
    pub fn assert_exclusive(&self) {
        let mut holds: Vec<(usize, GrantInterval)> = Vec::new();
        for (number, server) in self.servers.iter().enumerate() {
            let intervals = server.intervals(SERVICE);
            holds.extend(intervals.into_iter().map(|interval| (number, interval)));
        }
        holds.sort_by_key(|(_, hold)| (hold.shard, hold.from));
        for pair in holds.windows(2) {
            let ((first_server, first), (second_server, second)) = (&pair[0], &pair[1]);
            if first.shard != second.shard || first_server == second_server {
                continue;
            }
            assert!(
                first.until <= second.from,
                "two owners of shard {}: s{first_server} {first:?}, s{second_server} {second:?}",
                first.shard
            );
            assert!(
                first.token < second.token,
                "token did not rise for shard {}: {first:?}, {second:?}",
                first.shard
            );
        }
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Parses an audit line of the form `SHARDS OLD NEW TOKEN REASON`.
fn parse_owner_change(line: &str) -> [String; 3] {
    let fields: Vec<&str> = line.split(' ').collect();
    let [_, old, new, .., reason] = fields[..] else {
        panic!("unexpected line in the audit trail: {line}");
    };
    [old, new, reason].map(str::to_owned)
}

/// Keys that are spread over the shards.
pub fn keys() -> Vec<String> {
    (0..40).map(|number| format!("/key{number}")).collect()
}

pub fn zone(number: usize) -> &'static str {
    ["a", "b", "c"][number % 3]
}

fn random_id() -> u64 {
    camphorcove_net::peer::random_nonce()
}
