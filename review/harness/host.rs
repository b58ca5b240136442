//! The project's host program as a separate process.

use crate::{network::free_port, record::Record};
use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/camphorcove-gateway";

pub struct Host {
    pub index: usize,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Host {
    /// Writes the settings of a host that uses the store at `store`.
    pub fn new(index: usize, folder: &Path, store: SocketAddr) -> Self {
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_port());
        let settings = folder.join(format!("host-{index}.toml"));
        // The fields of deploy/settings.toml, with a machine of the site flotte-gw.
        let text = format!(
            "host = \"host-{index}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             store = \"{store}\"\ncpu_share = 0.2\nmemory_mb = 260\ndescriptors = 4100\n\
             stop_limit_s = 6\nrepeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window_s = 10\n"
        );
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("host-{index}.log"));
        Self {
            index,
            callers,
            settings,
            log,
            process: Mutex::new(None),
        }
    }

    pub fn start(&self) {
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
        *self.process.lock().unwrap() = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ends all hosts.
pub fn end_all(hosts: &[Host], record: &Record) {
    for host in hosts {
        host.end();
    }
    record.line("all hosts ended");
}
