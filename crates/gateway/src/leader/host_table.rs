//! What the leader learns from the reports of hosts.

use {
    crate::{peers::Report, state::ServerHash},
    camphorcove_core::{ids::HostId, time::BootTime},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time without a report after which a host is dropped from the table.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which an answer that another host received counts as proof that the server
/// is alive.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a host that lacked the store is not chosen to watch it.
const STORE_LOSS_MEMORY: Duration = Duration::from_secs(4);

/// Weight that the moving average of the request time keeps for each new success.
const MEAN_RETENTION: f64 = 0.9;

/// State of one host as of its last report.
#[derive(Debug)]
struct HostRecord {
    address: SocketAddr,
    reported_at: BootTime,
    cpu_permille: u16,
    /// When the host last reported that it lacks the store.
    lacked_store_at: Option<BootTime>,
    /// Whether the host reaches no servers.
    lacks_servers: bool,
    in_flight: Vec<(ServerHash, u32)>,
}

/// Request time of one server over all hosts.
#[derive(Debug, Default)]
struct ServerLatency {
    mean: f64,
    /// When a host other than the leader last reported a successful request.
    answered_other_host_at: BootTime,
}

/// Hosts that report to the leader, and the request times that they measure at servers.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: BTreeMap<HostId, HostRecord>,
    latencies: HashMap<ServerHash, ServerLatency>,
}

impl HostTable {
    /// Records a report; `own` says that it is the leader's own report.
    pub fn record_report(&mut self, report: &Report, from: SocketAddr, own: bool, now: BootTime) {
        let mut in_flight = Vec::new();
        for load in &report.load.servers {
            in_flight.push((load.server, load.in_flight));
            if load.successes == 0 {
                continue;
            }
            let mean = f64::from(load.mean_micros) / 1e6;
            let latency = self.latencies.entry(load.server).or_default();
            if !own {
                latency.answered_other_host_at = now;
            }
            let weight = 1.0 - MEAN_RETENTION.powf(f64::from(load.successes));
            latency.mean = match latency.mean {
                0.0 => mean,
                old => old + (mean - old) * weight,
            };
        }
        let lacked_store_at = match report.lacks_store {
            true => Some(now),
            false => {
                let known = self.hosts.get(&report.host);
                known.and_then(|record| record.lacked_store_at)
            }
        };
        let record = HostRecord {
            address: from,
            reported_at: now,
            cpu_permille: report.cpu_permille,
            lacked_store_at,
            lacks_servers: report.lacks_servers,
            in_flight,
        };
        self.hosts.insert(report.host.clone(), record);
    }

    /// Removes hosts that have stopped reporting.
    pub fn expire(&mut self, now: BootTime) {
        self.hosts
            .retain(|_, record| now.since(record.reported_at) < REPORT_TIMEOUT);
    }

    /// Number of hosts that reported recently.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Ids of all hosts that reported recently.
    pub fn ids(&self) -> impl Iterator<Item = HostId> {
        self.hosts.keys().cloned()
    }

    /// Ids of the hosts that reported within `limit`.
    pub fn fresh_ids(&self, limit: Duration, now: BootTime) -> BTreeSet<HostId> {
        let hosts = self.hosts.iter();
        let fresh = hosts.filter(|(_, record)| now.since(record.reported_at) < limit);
        fresh.map(|(host, _)| host.clone()).collect()
    }

    /// Addresses to which digests are sent.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.hosts.values().map(|record| record.address)
    }

    /// Addresses of hosts that reach no servers.
    pub fn without_servers(&self) -> Vec<SocketAddr> {
        let lacking = self.hosts.values().filter(|record| record.lacks_servers);
        lacking.map(|record| record.address).collect()
    }

    /// Whether a host other than `own` reports that reaches servers.
    pub fn other_has_servers(&self, own: &HostId) -> bool {
        let mut others = self.hosts.iter().filter(|(host, _)| *host != own);
        others.any(|(_, record)| !record.lacks_servers)
    }

    /// Requests in flight at each server, summed over all hosts.
    pub fn in_flight_totals(&self) -> BTreeMap<ServerHash, u32> {
        let mut in_flight_totals = BTreeMap::new();
        for record in self.hosts.values() {
            for (server, in_flight) in &record.in_flight {
                *in_flight_totals.entry(*server).or_default() += in_flight;
            }
        }
        in_flight_totals
    }

    /// Largest CPU share of any host, in thousandths of a core.
    pub fn largest_cpu_permille(&self) -> u16 {
        let shares = self.hosts.values().map(|record| record.cpu_permille);
        shares.max().unwrap_or_default()
    }

    /// Addresses of the next `count` hosts after the first `skipped`, ordered by descending
    /// CPU share and without `own`; hosts that lacked the store recently come last. Wraps around
    /// at the end.
    pub fn watchers(
        &self,
        own: &HostId,
        count: usize,
        skipped: usize,
        now: BootTime,
    ) -> Vec<SocketAddr> {
        let others = self.hosts.iter().filter(|(host, _)| *host != own);
        let mut others: Vec<&HostRecord> = others.map(|(_, record)| record).collect();
        let lacked_store = |record: &HostRecord| {
            let at = record.lacked_store_at;
            at.is_some_and(|at| now.since(at) < STORE_LOSS_MEMORY)
        };
        others.sort_by_key(|record| (lacked_store(record), Reverse(record.cpu_permille)));
        if !others.is_empty() {
            let at = skipped % others.len();
            others.rotate_left(at);
        }
        others.truncate(count);
        others.iter().map(|record| record.address).collect()
    }

    /// Mean time of a request at a server, in seconds; `None` before the first success.
    pub fn mean_latency(&self, server: ServerHash) -> Option<f64> {
        let latency = self.latencies.get(&server)?;
        (latency.mean > 0.0).then_some(latency.mean)
    }

    /// Whether the server has answered a host other than the leader recently.
    pub fn answers_other_hosts(&self, server: ServerHash, now: BootTime) -> bool {
        let latency = self.latencies.get(&server);
        latency.is_some_and(|latency| now.since(latency.answered_other_host_at) < ANSWER_MAX_AGE)
    }
}
