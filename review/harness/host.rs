//! The project's host program as a separate process.

use crate::{
    network::{Member, Network, free_port},
    record::Record,
    store::Store,
};
use std::{
    fs::{self, File},
    net::{SocketAddr, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/camphorcove-gateway";

/// Largest datagram between hosts.
const DATAGRAM_BYTES: usize = 65_536;

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;

pub struct Host {
    pub index: usize,
    pub callers: SocketAddr,
    /// Address that other hosts send to, and the one where this host listens.
    public: SocketAddr,
    own: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Host {
    pub fn new(index: usize, folder: &Path, store: &Arc<Store>, network: &Arc<Network>) -> Self {
        let [callers, readiness, public, own, metrics, stored] = [(); 6].map(|()| free_port());
        store.serve(stored, index, network);
        let settings = folder.join(format!("host-{index}.toml"));
        // The fields of deploy/settings.toml, with the smallest machine of the pages.
        let text = format!(
            "host = \"host-{index}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{public}\"\npeers_listen = \"{own}\"\n\
             metrics = \"{metrics}\"\nstore = \"{stored}\"\ncpu_share = 0.2\nmemory_mb = 260\n\
             descriptors = 4100\nstop_limit_s = 6\nrepeat_ratio = 0.2\nrepeat_slack = 60\n\
             repeat_window_s = 10\n"
        );
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("host-{index}.log"));
        Self {
            index,
            callers,
            public,
            own,
            settings,
            log,
            process: Mutex::new(None),
        }
    }

    pub fn start(&self, network: &Network) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("CAMPHORCOVE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        network.set_process(self.index, child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        let mut process = self.process.lock().unwrap();
        let Some(child) = process.as_mut() else {
            return;
        };
        if matches!(child.try_wait(), Ok(None)) {
            // SAFETY: sends a signal to a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

/// Forwards datagrams between hosts that reach each other. Each host is known to the others by its
/// public address.
pub fn relay_datagrams(hosts: &[Host], network: &Arc<Network>) {
    let sockets: Vec<Arc<UdpSocket>> = hosts
        .iter()
        .map(|host| Arc::new(UdpSocket::bind(host.public).expect("a free port")))
        .collect();
    let own: Vec<SocketAddr> = hosts.iter().map(|host| host.own).collect();
    for to in 0..hosts.len() {
        let (sockets, own, network) = (sockets.clone(), own.clone(), network.clone());
        thread::spawn(move || {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            loop {
                let Ok((length, sender)) = sockets[to].recv_from(&mut buffer) else {
                    continue;
                };
                let Some(from) = own.iter().position(|address| *address == sender) else {
                    continue;
                };
                if network.connects(Member::Host(from), Member::Host(to)) {
                    let _ = sockets[from].send_to(&buffer[..length], own[to]);
                }
            }
        });
    }
}

/// Index of the host that the stored assignment names as the leader.
pub fn leader_of(store: &Store) -> Option<usize> {
    let owners = store.get("camphorcove", "owners")?;
    let leader = crate::json::field(&owners, "leader")?.to_owned();
    let host = crate::json::string(&leader, "host")?;
    host.strip_prefix("host-")?.parse().ok()
}

/// Ends all hosts.
pub fn end_all(hosts: &[Host], record: &Record) {
    for host in hosts {
        host.end();
    }
    record.line("all hosts ended");
}
