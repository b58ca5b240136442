//! A daemon as a process.

use {
    super::{
        ChildProcess, ProgramOptions, child_process::not_started, region_plan::REGION, wait_for,
    },
    crate::error::BenchError,
    bytes::Bytes,
    camphorcove_net::{http::HttpClient, platform::ListedHost},
    http::Request,
    http_body_util::Full,
    serde_json::Value,
    std::{
        fs::{self, File},
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Command, Stdio},
        time::Duration,
    },
};

/// Peer key of all regions; they talk over loopback only.
const PEER_KEY_BYTE: &str = "5a";

/// Longest time of a read of the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// How to start a daemon.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Host id.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Folder for its settings and log.
    pub folder: PathBuf,
    /// The platform.
    pub platform: SocketAddr,
}

/// A daemon as a process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// How it was started.
    pub plan: DaemonPlan,
    /// The process.
    pub process: ChildProcess,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub operators: SocketAddr,
}

impl DaemonPlan {
    /// Starts the daemon and waits until it listens.
    pub async fn start(&self, programs: &ProgramOptions) -> Result<DaemonProcess, BenchError> {
        let program = programs.path("camphorcoved");
        let log_path = self.folder.join(format!("{}.log", self.host));
        let spawned = self.spawn(&program, &log_path);
        let mut process = spawned.or_else(|error| not_started(&program, error.to_string()))?;
        let look = || {
            let line = listening_line(&log_path);
            let ended = !process.is_running();
            async move { line.map(Some).or(ended.then_some(None)) }
        };
        let line = wait_for(&format!("{} listens", self.host), look).await?;
        let address = |name: &str| line.as_ref()?[name].as_str()?.parse().ok();
        let (Some(callers), Some(peers), Some(operators)) =
            (address("callers"), address("peers"), address("operators"))
        else {
            let log = fs::read_to_string(&log_path).unwrap_or_default();
            return not_started(&program, format!("it ended or names no addresses: {log}"));
        };
        Ok(DaemonProcess {
            plan: self.clone(),
            process,
            callers,
            peers,
            operators,
        })
    }

    fn spawn(&self, program: &Path, log_path: &Path) -> io::Result<ChildProcess> {
        let settings = self.write_settings()?;
        let log = File::create(log_path)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log).spawn().map(ChildProcess::new)
    }

    fn write_settings(&self) -> io::Result<PathBuf> {
        let key_file = self.folder.join("peer.key");
        fs::write(&key_file, PEER_KEY_BYTE.repeat(32))?;
        let text = format!(
            "host = {:?}\nregion = {REGION:?}\nzone = {:?}\ncallers = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nplatform = \"{}\"\n\
             peer_key_file = {:?}\n",
            self.host,
            self.zone,
            self.platform,
            key_file.display().to_string(),
        );
        let path = self.folder.join(format!("{}.toml", self.host));
        fs::write(&path, text)?;
        Ok(path)
    }
}

fn listening_line(log_path: &Path) -> Option<Value> {
    let log = fs::read_to_string(log_path).ok()?;
    let mut lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines.find(|line: &Value| line["message"] == "listening")
}

impl DaemonProcess {
    /// Its entry in the platform's host list.
    pub fn listed(&self) -> Option<ListedHost> {
        Some(ListedHost {
            id: self.plan.host.parse().ok()?,
            peer: self.peers,
            zone: self.plan.zone.parse().ok()?,
            leaving: false,
        })
    }

    /// Sum of the metrics whose name with labels starts with `prefix`; `None` if
    /// there is none or the daemon does not answer.
    pub async fn metric(&self, prefix: &str) -> Option<f64> {
        let request = Request::get("/metrics").body(Full::<Bytes>::default());
        let reply = HttpClient::default()
            .exchange(self.operators, request.ok()?, METRICS_TIMEOUT)
            .await
            .ok()?;
        let text = String::from_utf8_lossy(reply.body()).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        let values: Vec<f64> = lines
            .filter_map(|line| line.rsplit_once(' ')?.1.parse().ok())
            .collect();
        (!values.is_empty()).then(|| values.iter().sum())
    }
}
