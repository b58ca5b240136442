//! Daemon that runs as a process.

use {
    super::{
        ChildProcess, ProgramOptions, child_process::start_failure, region_plan::REGION, wait_for,
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

/// Hexadecimal byte that the shared peer key of all hosts consists of. A fixed key is safe, as
/// the hosts communicate only over loopback.
const PEER_KEY_BYTE: &str = "5a";

/// Timeout of a request for the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings that a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Id of the host that it runs as.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Directory for its settings file and log.
    pub work_dir: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
}

/// A running daemon (the program `camphorcoved`).
#[derive(Debug)]
pub struct DaemonProcess {
    /// Plan that the daemon was started from.
    pub plan: DaemonPlan,
    /// Child process; killed when dropped.
    pub process: ChildProcess,
    /// Address where it accepts callers.
    pub caller_address: SocketAddr,
    /// Address where it accepts other hosts.
    pub peer_address: SocketAddr,
    /// Address where it serves metrics.
    pub operator_address: SocketAddr,
}

impl DaemonPlan {
    /// Starts the daemon and waits until its log names the addresses where it listens.
    pub async fn start(&self, programs: &ProgramOptions) -> Result<DaemonProcess, BenchError> {
        let program = programs.path("camphorcoved");
        let log_path = self.work_dir.join(format!("{}.log", self.host));
        let spawned = self.spawn(&program, &log_path);
        let mut process = spawned.or_else(|error| start_failure(&program, error.to_string()))?;
        let check = || {
            let line = find_listening_record(&log_path);
            // `Some(None)` ends the wait if the process has exited without listening.
            let ended = !process.is_running();
            async move { line.map(Some).or(ended.then_some(None)) }
        };
        let line = wait_for(&format!("{} listens", self.host), check).await?;
        let address = |name: &str| line.as_ref()?[name].as_str()?.parse().ok();
        let (Some(caller_address), Some(peer_address), Some(operator_address)) =
            (address("callers"), address("peers"), address("operators"))
        else {
            let log = fs::read_to_string(&log_path).unwrap_or_default();
            return start_failure(
                &program,
                format!("it ended or logged no addresses; its log: {log}"),
            );
        };
        Ok(DaemonProcess {
            plan: self.clone(),
            process,
            caller_address,
            peer_address,
            operator_address,
        })
    }

    /// Spawns the process, with its standard error written to the log file.
    fn spawn(&self, program: &Path, log_path: &Path) -> io::Result<ChildProcess> {
        let settings = self.write_settings()?;
        let log = File::create(log_path)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log).spawn().map(ChildProcess::new)
    }

    /// Writes the peer key and the settings file; returns the path of the settings file.
    fn write_settings(&self) -> io::Result<PathBuf> {
        let key_file = self.work_dir.join("peer.key");
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
        let path = self.work_dir.join(format!("{}.toml", self.host));
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// Finds the JSON log record that names the addresses where the daemon listens.
fn find_listening_record(log_path: &Path) -> Option<Value> {
    let log = fs::read_to_string(log_path).ok()?;
    let mut lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines.find(|line: &Value| line["message"] == "listening")
}

impl DaemonProcess {
    /// Returns the daemon's entry for the platform's host list; `None` if the plan's host id or
    /// zone is invalid.
    pub fn host_entry(&self) -> Option<ListedHost> {
        Some(ListedHost {
            id: self.plan.host.parse().ok()?,
            peer: self.peer_address,
            zone: self.plan.zone.parse().ok()?,
            leaving: false,
        })
    }

    /// Reads the metrics and adds up the samples whose name and labels start with `prefix`;
    /// `None` if there is no such sample or the daemon does not answer.
    pub async fn metric(&self, prefix: &str) -> Option<f64> {
        let request = Request::get("/metrics").body(Full::<Bytes>::default());
        let reply = HttpClient::default()
            .exchange(self.operator_address, request.ok()?, METRICS_TIMEOUT)
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
