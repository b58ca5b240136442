//! A host as a real process, whose connections to the store go through a proxy.

use {
    super::peer_relay::RelayedHost,
    camphorcove_platform_standin::owning_server::OwnershipLedger,
    camphorcove_standin::proxy::{ProxySettings, ProxyStandin},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs,
        net::{SocketAddr, TcpListener, UdpSocket},
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// First port for hosts and servers, and the number of ports: below the range of outgoing
/// connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Distance between the first ports of test processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 97;

/// Memory that the settings give to a host, in MB: somewhat more than the smallest hosts have.
pub const MEMORY_MB: u64 = 128;

/// Pause between checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Message that a process logs once it handles signals. Before, SIGTERM ends it at once.
const START_MESSAGE: &str = "\"host starts\"";

/// Time after which a host that does not stop is killed: twice its stop limit, and the longest time
/// for which it may be frozen meanwhile.
const MAX_STOP_TIME: Duration = Duration::from_secs(15);

/// Number of ports that this process has tried.
static PORTS_TAKEN: AtomicU32 = AtomicU32::new(0);

/// Held while a port is tried or a process starts.
static PORT_TRIAL: Mutex<()> = Mutex::new(());

/// A running host.
pub struct SoakHost {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    proxy: ProxyStandin,
    process: Mutex<HostProcess>,
    /// Held by whoever stops the process and starts it again.
    restart: tokio::sync::Mutex<()>,
    /// When the host was restarted, stopped, frozen or cut off.
    disturbances: Mutex<Vec<(DisturbanceKind, Instant, Instant)>>,
    violations: Mutex<Vec<String>>,
}

/// What happened to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisturbanceKind {
    /// Stopped by SIGTERM and started again.
    PlannedStop,
    /// Killed and started again.
    Kill,
    /// Suspended and resumed.
    Freeze,
    /// Cut off from the store or from other hosts.
    Cut,
}

struct HostProcess {
    child: Child,
    /// Length of the log file when the process started, in bytes.
    log_start: usize,
}

impl SoakHost {
    /// Starts host `number` of the run with this seed.
    pub async fn start(seed: u64, number: usize, store: SocketAddr, peers: RelayedHost) -> Self {
        let proxy = ProxyStandin::to(store).await.expect("a port is free");
        let folder = std::env::temp_dir().join(format!("camphorcove-soak-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let settings = folder.join(format!("{seed}-{number}.toml"));
        let log = folder.join(format!("{seed}-{number}.log"));
        let [callers, readiness, metrics] = [(); 3].map(|()| free_port());
        let RelayedHost { public, own } = peers;
        let text = format!(
            "host = \"host-{number}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{public}\"\npeers_listen = \"{own}\"\nmetrics = \"{metrics}\"\n\
             store = \"{}\"\ncpu_share = 1\nmemory_mb = {MEMORY_MB}\ndescriptors = 1024\nstop_limit_s = 5\n\
             repeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window_s = 10\n",
            proxy.address()
        );
        fs::write(&settings, text).expect("settings are written");
        let process = Mutex::new(HostProcess::spawn(&settings, &log));
        Self {
            callers,
            settings,
            log,
            proxy,
            process,
            restart: tokio::sync::Mutex::default(),
            disturbances: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    /// Most memory that the process has had resident so far, in bytes; `None` if it has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let id = self.process.lock().expect("not poisoned").child.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kibibytes << 10)
    }

    /// Lines that the process has logged since its start.
    pub fn log_lines(&self) -> Vec<String> {
        let log_start = self.process.lock().expect("not poisoned").log_start;
        let log = fs::read(&self.log).expect("a log file");
        let text = String::from_utf8_lossy(&log[log_start..]);
        text.lines().map(str::to_owned).collect()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        let mut process = self.process.lock().expect("not poisoned");
        if matches!(process.child.try_wait(), Ok(Some(_))) {
            return;
        }
        let id = i32::try_from(process.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("own process");
    }

    /// Ends the process with a signal and starts it again. With `again_after`, the signal is sent a
    /// second time after that pause.
    pub async fn restart(&self, signal: Signal, again_after: Option<Duration>) {
        let _restart = self.restart.lock().await;
        let from = Instant::now();
        self.signal(signal);
        if let Some(pause) = again_after {
            sleep(pause).await;
            self.signal(signal);
        }
        let ended = loop {
            let ended = self.process.lock().expect("not poisoned").child.try_wait();
            if let Some(ended) = ended.expect("own process") {
                break ended;
            }
            if from.elapsed() > MAX_STOP_TIME {
                self.record_violation(format!("{} did not stop", self.log.display()));
                self.signal(Signal::SIGKILL);
            }
            sleep(EXIT_POLL_INTERVAL).await;
        };
        let is_planned = signal == Signal::SIGTERM;
        let had_no_handler = ended.signal() == Some(signal as i32) && !self.has_started();
        if is_planned && !ended.success() && !had_no_handler {
            self.record_violation(format!(
                "planned stop of {} ended with {ended}",
                self.log.display()
            ));
        }
        let kind = match is_planned && ended.success() {
            true => DisturbanceKind::PlannedStop,
            false => DisturbanceKind::Kill,
        };
        self.record_disturbance(kind, from, Instant::now());
        *self.process.lock().expect("not poisoned") = HostProcess::spawn(&self.settings, &self.log);
    }

    /// Whether the process has logged its start.
    fn has_started(&self) -> bool {
        let lines = self.log_lines();
        lines.iter().any(|line| line.contains(START_MESSAGE))
    }

    /// Suspends the process for `duration`, after which its late grants are excused for a while.
    pub async fn freeze(&self, duration: Duration, ownership_ledger: &OwnershipLedger) {
        let from = Instant::now();
        self.signal(Signal::SIGSTOP);
        sleep(duration).await;
        ownership_ledger.host_resumed();
        self.signal(Signal::SIGCONT);
        self.record_disturbance(DisturbanceKind::Freeze, from, Instant::now());
    }

    /// Records that the host was cut off from other hosts since `from`.
    pub fn record_cut(&self, from: Instant) {
        self.record_disturbance(DisturbanceKind::Cut, from, Instant::now());
    }

    /// Changes the faults of the connection to the store for `duration`.
    pub async fn cut_store(&self, faults: ProxySettings, duration: Duration) {
        let from = Instant::now();
        self.proxy.change(|settings| *settings = faults);
        sleep(duration).await;
        self.proxy
            .change(|settings| *settings = ProxySettings::default());
        self.record_cut(from);
    }

    fn record_disturbance(&self, kind: DisturbanceKind, from: Instant, until: Instant) {
        let mut disturbances = self.disturbances.lock().expect("not poisoned");
        disturbances.push((kind, from, until));
    }

    fn record_violation(&self, violation: String) {
        self.violations
            .lock()
            .expect("not poisoned")
            .push(violation);
    }

    /// Planned stops that failed.
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("not poisoned").clone()
    }

    /// Whether the host was restarted, stopped, frozen or cut off between these times.
    pub fn was_disturbed(&self, from: Instant, until: Instant) -> bool {
        self.has_disturbance(from, until, |_| true)
    }

    /// Whether the host was killed or frozen between these times.
    pub fn was_broken(&self, from: Instant, until: Instant) -> bool {
        let breaks = |kind| matches!(kind, DisturbanceKind::Kill | DisturbanceKind::Freeze);
        self.has_disturbance(from, until, breaks)
    }

    /// Whether the host was stopped by SIGTERM between these times.
    pub fn was_stopped(&self, from: Instant, until: Instant) -> bool {
        let stops = |kind| kind == DisturbanceKind::PlannedStop;
        self.has_disturbance(from, until, stops)
    }

    fn has_disturbance(
        &self,
        from: Instant,
        until: Instant,
        is_meant: impl Fn(DisturbanceKind) -> bool,
    ) -> bool {
        let disturbances = self.disturbances.lock().expect("not poisoned");
        disturbances
            .iter()
            .any(|(kind, start, end)| is_meant(*kind) && *start <= until && from <= *end)
    }
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.process.lock().expect("not poisoned").child.wait();
    }
}

impl HostProcess {
    fn spawn(settings: &Path, log: &Path) -> Self {
        let log_start = fs::read(log).map_or(0, |earlier| earlier.len());
        let log = fs::File::options().create(true).append(true).open(log);
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorcove-gateway"));
        command
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::from(log.expect("a log file")));
        let child = spawn(&mut command);
        Self { child, log_start }
    }
}

/// Starts a process, while no port is being tried: until it runs its program, it holds all sockets of this process.
pub fn spawn(command: &mut Command) -> Child {
    let _untried = PORT_TRIAL.lock().expect("not poisoned");
    command.spawn().expect("the program starts")
}

/// A port that no other host or server of this process gets and that no outgoing connection takes,
/// as it lies below the range from which the system chooses. Ports from that range were handed out
/// twice.
pub fn free_port() -> SocketAddr {
    let _trial = PORT_TRIAL.lock().expect("not poisoned");
    loop {
        let offset = PORTS_TAKEN.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id() * PORTS_PER_PROCESS + offset;
        let port = FIRST_PORT + u16::try_from(start % PORT_COUNT).expect("below the limit");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
