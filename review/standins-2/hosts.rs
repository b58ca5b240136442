//! The project's programs as separate processes, and requesters.

use {
    crate::{
        links::{Links, PeerAddresses},
        servers::Ledger,
        wire::{Reader, send},
    },
    std::{
        fs,
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/camphorcove-gateway";

/// One host.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    links: Links,
    child: Mutex<Option<Child>>,
}

/// Names and addresses of hosts.
pub fn name_hosts(count: usize) -> io::Result<Vec<PeerAddresses>> {
    let mut hosts = Vec::new();
    for number in 1..=count {
        hosts.push(PeerAddresses {
            host: format!("front-{number}"),
            public: free_port()?,
            own: free_port()?,
        });
    }
    Ok(hosts)
}

/// First port for hosts, and the number of ports: below the range of outgoing connections.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Number of ports that this process has tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// A port that is free for TCP and UDP.
pub fn free_port() -> io::Result<SocketAddr> {
    for _ in 0..PORT_COUNT {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(97) + tried) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).map_err(io::Error::other)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Host {
    pub fn start(
        peers: &PeerAddresses,
        store: SocketAddr,
        folder: &Path,
        links: &Links,
    ) -> io::Result<Self> {
        let name = peers.host.clone();
        let (callers, readiness) = (free_port()?, free_port()?);
        let metrics = free_port()?;
        let (public, own) = (peers.public, peers.own);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "host = \"{name}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{public}\"\npeers_listen = \"{own}\"\nmetrics = \"{metrics}\"\nstore = \"{store}\"\ncpu_share = 0.2\nmemory_mb = 260\n\
             descriptors = 4100\nstop_limit_s = 6\nrepeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window_s = 10\n"
        );
        fs::write(&settings, text)?;
        let host = Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers,
            settings,
            links: links.clone(),
            child: Mutex::new(None),
        };
        host.spawn()?;
        Ok(host)
    }

    pub fn spawn(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("CAMPHORCOVE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.links.set_process(&self.name, child.id());
        *self.child.lock().expect("not poisoned") = Some(child);
        Ok(())
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What requesters were told, by status; 0 stands for no answer.
#[derive(Default)]
pub struct Answers {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

/// Sends a request on a new connection; the status and body of the answer.
pub fn ask(host: SocketAddr, text: &str, limit: Duration) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    send(&stream, text.as_bytes())?;
    let message = Reader::new(&stream)?.message()?;
    Ok((message.status(), message.body))
}

/// Requesters that read by key until `stop` is set.
pub fn start_readers(
    count: usize,
    pause: Duration,
    hosts: &[SocketAddr],
    ledger: &Arc<Ledger>,
    answers: &Arc<Answers>,
    stop: &Arc<AtomicBool>,
) {
    for reader in 0..count {
        let (hosts, ledger) = (hosts.to_vec(), ledger.clone());
        let (answers, stop) = (answers.clone(), stop.clone());
        thread::spawn(move || {
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("r{reader:03}-{number:06}");
                // A part of the keys is much busier than the others, and they lie close together.
                let key = match ledger.random.below(10) {
                    0..=1 => 20_000 + ledger.random.below(200),
                    _ => ledger.random.below(1 << 16),
                };
                let host = hosts[ledger.random.below(hosts.len() as u64) as usize];
                let text = format!(
                    "GET /ledig/{key} HTTP/1.1\r\nHost: rafts.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\
                     X-Shard-Key: {key}\r\n\r\n"
                );
                answers.sent.fetch_add(1, Ordering::Relaxed);
                let asked = ask(host, &text, Duration::from_millis(2_500));
                let counter = match &asked {
                    Ok((200, _)) => &answers.served,
                    Ok((429 | 503, _)) => &answers.refused,
                    Ok(_) | Err(_) => &answers.failed,
                };
                counter.fetch_add(1, Ordering::Relaxed);
                if let Ok((200, body)) = &asked
                    && body != id.as_bytes()
                {
                    let line = format!(
                        "MIXED: {id} gets the body {:?}",
                        String::from_utf8_lossy(body)
                    );
                    ledger.violations.lock().expect("not poisoned").push(line);
                }
                thread::sleep(pause.mul_f64(0.5 + ledger.random.fraction()));
            }
        });
    }
}

/// Waits until each host serves; `false` after `limit`.
pub fn wait_until_served(hosts: &[SocketAddr], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let served = hosts.iter().enumerate().all(|(at, host)| {
            [0, 20_000, 65_535].iter().all(|key| {
                let text = format!(
                    "GET /ledig/a HTTP/1.1\r\nHost: rafts.example\r\nX-Request-Id: w{at}-{number}-{key}\r\n\
                     X-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\n\r\n"
                );
                matches!(ask(*host, &text, Duration::from_millis(2_500)), Ok((200, _)))
            })
        });
        if served {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Writes the record of a run.
pub fn write_record(folder: &Path, lines: &[String]) -> io::Result<()> {
    let mut file = fs::File::create(folder.join("record.txt"))?;
    for line in lines {
        writeln!(file, "{line}")?;
    }
    Ok(())
}
