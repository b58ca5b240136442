//! Starts and controls one daemon process.

use {
    super::{MetricValues, wait_for},
    bytes::Bytes,
    camphorcove_net::{
        http::HttpClient,
        operator::{ClientError, OperatorClient, OperatorKey, OperatorRequest, OperatorSecret},
    },
    http::Request,
    http_body_util::Full,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::Value,
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Operators that every daemon accepts, each with the digit that its secret consists of.
const OPERATORS: [(&str, char); 2] = [("anna", 'a'), ("bertil", 'b')];

fn operator_line((id, digit): (&str, char)) -> String {
    format!("{id} {}\n", secret(digit))
}

fn secret(digit: char) -> String {
    digit.to_string().repeat(64)
}

/// Settings of a daemon process.
#[derive(Clone, Debug)]
pub struct DaemonSetup {
    pub host: String,
    pub zone: String,
    pub directory: PathBuf,
    pub platform: SocketAddr,
    /// Listen address of the peer port.
    pub peers: SocketAddr,
    /// Announced address of the peer port; `None` announces the listen address.
    pub announced: Option<SocketAddr>,
    pub shutdown_limit: String,
    /// Hosts to contact besides those that the platform lists, as `HOST@ADDRESS`.
    pub seeds: Vec<String>,
}

impl DaemonSetup {
    fn write(&self) -> PathBuf {
        let key_file = self.directory.join("peer.key");
        fs::write(&key_file, "5a".repeat(32)).expect("key file");
        let operators_file = self.directory.join("operators.keys");
        fs::write(&operators_file, OPERATORS.map(operator_line).concat()).expect("key file");
        let announced = self.announced.map_or(String::new(), |a| a.to_string());
        let text = format!(
            "host = {:?}\nregion = \"test\"\nzone = {:?}\ncallers = \"127.0.0.1:0\"\n\
             peers = \"{}\"\npeers_announced = {announced:?}\noperators = \"127.0.0.1:0\"\n\
             platform = \"{}\"\npeer_key_file = {:?}\nlog_level = {:?}\nshutdown_limit = {:?}\n\
             seeds = {:?}\noperator_keys_file = {:?}\n",
            self.host,
            self.zone,
            self.peers,
            self.platform,
            key_file.display().to_string(),
            std::env::var("TEST_LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            self.shutdown_limit,
            self.seeds,
            operators_file.display().to_string(),
        );
        let path = self.directory.join(format!("{}.toml", self.host));
        fs::write(&path, text).expect("settings file");
        path
    }
}

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    pub setup: DaemonSetup,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it listens.
    pub async fn start(setup: DaemonSetup) -> Self {
        let settings = setup.write();
        let mut child = Command::new(env!("CARGO_BIN_EXE_camphorcoved"))
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .expect("daemon starts");
        let log = Arc::<Mutex<Vec<String>>>::default();
        let stderr = child.stderr.take().expect("stderr is piped");
        let sink = log.clone();
        let show = std::env::var("TEST_SHOW_LOG").is_ok();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if show {
                    eprintln!("{line}");
                }
                sink.lock().expect("log").push(line);
            }
        });
        let listening = wait_for("daemon listens", || {
            let found = find_line(&log, "listening");
            let ended = child.try_wait().expect("wait");
            assert!(
                found.is_some() || ended.is_none(),
                "daemon ended with {ended:?}\n{}",
                log.lock().expect("log").join("\n")
            );
            async move { found }
        })
        .await;
        let address = |key: &str| {
            let text = listening[key].as_str().expect("address");
            text.parse().expect("address")
        };
        Self {
            callers: address("callers"),
            peers: address("peers"),
            operators: address("operators"),
            setup,
            child,
            log,
        }
    }

    pub fn host(&self) -> &str {
        &self.setup.host
    }

    /// Peer address that other hosts use.
    pub fn announced(&self) -> SocketAddr {
        self.setup.announced.unwrap_or(self.peers)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("pid");
        kill(Pid::from_raw(pid), signal).expect("signal");
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits without being killed.
    pub async fn wait(&mut self) -> ExitStatus {
        let child = &mut self.child;
        let end = tokio::time::Instant::now() + super::DEADLINE;
        loop {
            if let Some(status) = child.try_wait().expect("wait") {
                return status;
            }
            assert!(tokio::time::Instant::now() < end, "daemon does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// First log line with exactly this message.
    pub fn logged(&self, message: &str) -> Option<Value> {
        find_line(&self.log, message)
    }

    pub fn log_text(&self) -> String {
        self.log.lock().expect("log").join("\n")
    }

    /// Current metrics; `None` if the daemon does not answer.
    pub async fn metrics(&self) -> Option<MetricValues> {
        let request = Request::get("/metrics").body(Full::<Bytes>::default());
        let request = request.expect("request");
        let limit = Duration::from_secs(2);
        let client = HttpClient::default();
        let reply = client.exchange(self.operators, request, limit).await.ok()?;
        Some(MetricValues::parse(&String::from_utf8_lossy(reply.body())))
    }

    /// Value of one metric; `None` if it is absent or the daemon does not answer.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        self.metrics().await?.get(name)
    }

    /// Sends a request to this daemon's operator API as the operator with this index.
    pub async fn operator_call(
        &self,
        operator: usize,
        method: &'static str,
        target: &str,
        body: &str,
    ) -> Result<Bytes, ClientError> {
        let (id, digit) = OPERATORS[operator];
        let secret = OperatorSecret::from_hex(&secret(digit)).expect("secret");
        let id = id.to_owned();
        let client = OperatorClient::new(vec![self.operators], OperatorKey { id, secret });
        let request = OperatorRequest {
            method,
            target: target.to_owned(),
            body: body.to_owned().into(),
        };
        client.call(&request).await
    }

    /// Whether this daemon is the controller of the service.
    pub async fn controls(&self, service: &str) -> bool {
        let name = format!("scope_controller{{service=\"{service}\"}}");
        self.metric(&name).await == Some(1.0)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            eprintln!("--- log of {} ---\n{}", self.setup.host, self.log_text());
        }
    }
}

fn find_line(log: &Mutex<Vec<String>>, message: &str) -> Option<Value> {
    let log = log.lock().expect("log");
    let lines = log
        .iter()
        .filter_map(|line| serde_json::from_str(line).ok());
    let mut lines = lines.filter(|line: &Value| line["message"] == message);
    lines.next()
}
