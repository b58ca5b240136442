//! Starts the project's program as separate processes, as the deploy file says.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/camphorcove-gateway";

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    /// Ends the process with a signal when the one that started it ends, whatever the cause.
    fn prctl(option: i32, signal: u64) -> i32;
}

pub struct Host {
    pub callers: SocketAddr,
    child: Child,
}

impl Host {
    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let name = format!("camphorcove-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free port below those that the system gives to outgoing connections.
fn free_tcp() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % 20_000;
        let begin = (std::process::id() % 200) as u16 * 100;
        let port = 10_000 + (begin + offset) % 20_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("bound");
        }
    }
}

/// An address that is free for TCP and UDP.
fn free_peers() -> SocketAddr {
    loop {
        let address = free_tcp();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts `count` hosts with the settings of a small deployment; their logs go to the folder. `None` if
/// one does not listen.
pub fn start_hosts(count: usize, store: SocketAddr, folder: &Folder) -> Option<Vec<Host>> {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut hosts = Vec::new();
    for at in 0..count {
        let callers = free_tcp();
        let settings = format!(
            "host = \"front-{at}\"\nzone = \"{}\"\ncallers = \"{callers}\"\nreadiness = \"{}\"\n\
             peers = \"{}\"\nmetrics = \"{}\"\nstore = \"{store}\"\ncpu_share = 0.2\nmemory_mb = 260\n\
             descriptors = 4100\nstop_limit_s = 6\nrepeat_ratio = 0.2\nrepeat_slack = 60\n\
             repeat_window_s = 10\nzone_transfer = true\n",
            zones[at % zones.len()],
            free_tcp(),
            free_peers(),
            free_tcp(),
        );
        let file = folder.0.join(format!("front-{at}.toml"));
        fs::write(&file, settings).expect("settings written");
        let log = folder.0.join(format!("front-{at}.log"));
        let log = fs::File::create(log).expect("log created");
        let errors = log.try_clone().expect("log shared");
        let mut command = Command::new(PROGRAM);
        command
            .env("CAMPHORCOVE_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: the call is safe between fork and exec, and takes numbers only.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program is built");
        hosts.push(Host { callers, child });
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    for host in &hosts {
        while TcpStream::connect(host.callers).is_err() {
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    Some(hosts)
}
