//! What the leader knows of the hosts that report to it.

use {
    crate::{peers::Report, state::ServerHash},
    camphorcove_core::{ids::HostId, time::BootTime},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after which a host that does not report no longer counts.
const HOST_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for which an answer of a server to another host shows that it lives.
const ANSWER_AGE: Duration = Duration::from_millis(1_500);

/// Weight that the mean speed keeps for each new success.
const SPEED_MEMORY: f64 = 0.9;

/// One host that reports.
#[derive(Debug)]
struct HostTrack {
    address: SocketAddr,
    seen_at: BootTime,
    cpu_permille: u16,
    in_flight: Vec<(ServerHash, u32)>,
}

/// Speed of a server over all hosts.
#[derive(Debug, Default)]
struct SpeedTrack {
    mean: f64,
    /// When another host last reported a success.
    answered_others_at: BootTime,
}

/// Hosts that report, and the speed of servers as they see it.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: BTreeMap<HostId, HostTrack>,
    speeds: HashMap<ServerHash, SpeedTrack>,
}

impl HostTable {
    /// Takes a report; `own` if it is this host's.
    pub fn take(&mut self, report: &Report, from: SocketAddr, own: bool, now: BootTime) {
        let mut in_flight = Vec::new();
        for load in &report.load.servers {
            in_flight.push((load.server, load.in_flight));
            if load.successes == 0 {
                continue;
            }
            let mean = f64::from(load.mean_micros) / 1e6;
            let speed = self.speeds.entry(load.server).or_default();
            if !own {
                speed.answered_others_at = now;
            }
            let weight = 1.0 - SPEED_MEMORY.powf(f64::from(load.successes));
            speed.mean = match speed.mean {
                0.0 => mean,
                old => old + (mean - old) * weight,
            };
        }
        let track = HostTrack {
            address: from,
            seen_at: now,
            cpu_permille: report.cpu_permille,
            in_flight,
        };
        self.hosts.insert(report.host.clone(), track);
    }

    /// Forgets hosts that no longer report.
    pub fn expire(&mut self, now: BootTime) {
        self.hosts
            .retain(|_, track| now.since(track.seen_at) < HOST_LIMIT);
    }

    /// Number of hosts.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Number of hosts that reported within `limit`.
    pub fn fresh_count(&self, limit: Duration, now: BootTime) -> usize {
        let fresh = |track: &&HostTrack| now.since(track.seen_at) < limit;
        self.hosts.values().filter(fresh).count()
    }

    /// Where the hosts get digests.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.hosts.values().map(|track| track.address)
    }

    /// Requests at each server, over all hosts.
    pub fn totals(&self) -> BTreeMap<ServerHash, u32> {
        let mut totals = BTreeMap::new();
        for track in self.hosts.values() {
            for (server, in_flight) in &track.in_flight {
                *totals.entry(*server).or_default() += in_flight;
            }
        }
        totals
    }

    /// Largest processor share of a host, in thousandths of a core.
    pub fn largest(&self) -> u16 {
        let shares = self.hosts.values().map(|track| track.cpu_permille);
        shares.max().unwrap_or_default()
    }

    /// `count` hosts other than `own`, the largest first, after `skipped` of them.
    pub fn watchers(&self, own: &HostId, count: usize, skipped: usize) -> Vec<SocketAddr> {
        let others = self.hosts.iter().filter(|(host, _)| *host != own);
        let mut others: Vec<&HostTrack> = others.map(|(_, track)| track).collect();
        others.sort_by_key(|track| Reverse(track.cpu_permille));
        if !others.is_empty() {
            let at = skipped % others.len();
            others.rotate_left(at);
        }
        others.truncate(count);
        others.iter().map(|track| track.address).collect()
    }

    /// Mean seconds that a request takes at a server, if known.
    pub fn mean_time(&self, server: ServerHash) -> Option<f64> {
        let speed = self.speeds.get(&server)?;
        (speed.mean > 0.0).then_some(speed.mean)
    }

    /// Whether the server answered another host lately.
    pub fn answers_others(&self, server: ServerHash, now: BootTime) -> bool {
        let speed = self.speeds.get(&server);
        speed.is_some_and(|speed| now.since(speed.answered_others_at) < ANSWER_AGE)
    }
}
