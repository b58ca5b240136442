//! Measures the resource use of idle daemons. It asserts nothing and so is ignored by default.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    processes::{Region, RegionPlan},
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Duration of the measurement.
const DURATION: Duration = Duration::from_secs(20);

/// Prints CPU time, memory and control traffic of idle daemons. `IDLE_HOSTS` sets the number of
/// daemons; the default is 9.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "prints figures and asserts nothing"]
async fn cost_of_idle_daemons() {
    let hosts = std::env::var("IDLE_HOSTS").ok();
    let mut plan = RegionPlan::new("idle");
    plan.daemons = hosts.and_then(|hosts| hosts.parse().ok()).unwrap_or(9);
    plan.servers = 10;
    plan.shards = 4_096;
    let region = Region::serving(plan).await;
    let mut before = Vec::new();
    for daemon in &region.daemons {
        before.push((
            cpu_seconds(daemon.pid()),
            control_bytes(daemon).await,
            Instant::now(),
        ));
    }

    tokio::time::sleep(DURATION).await;

    for (daemon, (cpu, sent, start)) in region.daemons.iter().zip(before) {
        let span = start.elapsed().as_secs_f64();
        println!(
            "{} controller={} cpu={:.2}% of a core, rss={} kB, control bytes/s sent={:.0} received={:.0}",
            daemon.host(),
            daemon.controls(processes::SERVICE).await,
            (cpu_seconds(daemon.pid()) - cpu) / span * 100.0,
            rss_kilobytes(daemon.pid()),
            (control_bytes(daemon).await.0 - sent.0) / span,
            (control_bytes(daemon).await.1 - sent.1) / span,
        );
    }
}

async fn control_bytes(daemon: &processes::DaemonProcess) -> (f64, f64) {
    let metrics = daemon.metrics().await.expect("metrics");
    let get = |direction: &str| {
        let name = format!("peer_control_bytes_total{{direction=\"{direction}\"}}");
        metrics.get(&name).unwrap_or_default()
    };
    (get("sent"), get("received"))
}

fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("stat");
    let fields = stat.rsplit_once(") ").expect("stat").1;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: f64 =
        fields[11].parse::<f64>().expect("utime") + fields[12].parse::<f64>().expect("stime");
    ticks / 100.0
}

fn rss_kilobytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let line = line.expect("VmRSS");
    let digits: String = line.chars().filter(char::is_ascii_digit).collect();
    digits.parse().expect("number")
}
