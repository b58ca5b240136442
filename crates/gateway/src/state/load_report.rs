//! What a host measures at servers and reports to the leader.

use {
    super::{HostState, LeavingServer},
    bincode::{Decode, Encode},
    camphorcove_core::{
        dispatch::{LimitGate, LimitedRequests, NamedLimit, ServerGauge},
        ids::{ServerId, ServiceName},
        keys::KeyHash,
    },
};

/// Short hash of a server id for datagrams. If two ids collide, only the load figures of the
/// two servers are mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ServerHash(u32);

impl ServerHash {
    /// Computes the hash of a server id.
    pub fn of(server: &ServerId) -> Self {
        let bytes = KeyHash::of(server.as_str().as_bytes()).0.to_le_bytes();
        Self(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}

/// Load of one server as measured by one host.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerLoad {
    /// Server at which the load was measured.
    pub server: ServerHash,
    /// Requests of this host in flight at the server.
    pub in_flight: u32,
    /// Successful requests since the last report.
    pub successes: u32,
    /// Mean time of these requests at the server, in microseconds.
    pub mean_micros: u32,
}

/// Requests of one host for a limited server, and what its answers told about the limit.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LimitReport {
    /// The limited server.
    pub server: ServerHash,
    /// What answers told since the last report.
    pub named: NamedLimit,
    /// Requests since the last report.
    pub requests: LimitedRequests,
}

/// Requests of one host for a cold server.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WarmupReport {
    /// The cold server.
    pub server: ServerHash,
    /// Requests since the last report.
    pub requests: LimitedRequests,
}

/// What a report has to contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportScope {
    /// What has changed since the last report.
    Changes,
    /// Also limits that the host has learned of earlier, as the leader is new.
    NewLeader,
}

/// Load that a host reports to the leader.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LoadReport {
    /// Loads of the servers that had requests.
    pub servers: Vec<ServerLoad>,
    /// Servers that limit the rate of requests, or have just ceased to.
    pub limits: Vec<LimitReport>,
    /// Servers that have announced to leave, in each report until they have left: a datagram may be
    /// lost, and a new leader has to learn of them.
    pub leaving: Vec<LeavingServer>,
    /// Number of requests per service and key since the last report.
    pub keys: Vec<(ServiceName, Vec<(u16, u32)>)>,
}

impl HostState {
    /// Returns the load since the last call, for the report to the leader.
    pub fn take_load_report(&self, scope: ReportScope) -> LoadReport {
        let leaving = self.leaving_list();
        let mut inner = self.lock();
        let mut servers = Vec::new();
        let mut limits = Vec::new();
        for (id, gauge) in &mut inner.gauges {
            limits.extend(limit_report(id, gauge, scope));
            let (successes, mean) = gauge.take_period();
            let in_flight = gauge.publish_in_flight();
            if successes == 0 && in_flight == 0 {
                continue;
            }
            servers.push(ServerLoad {
                server: ServerHash::of(id),
                in_flight,
                successes,
                mean_micros: (mean * 1e6) as u32,
            });
        }
        let keys = std::mem::take(&mut inner.key_counts)
            .into_iter()
            .map(|(service, keys)| (service, keys.into_iter().collect()))
            .collect();
        LoadReport {
            servers,
            limits,
            leaving,
            keys,
        }
    }
}

/// Report about a server's limit, if there is anything to report.
fn limit_report(
    server: &ServerId,
    gauge: &mut ServerGauge,
    scope: ReportScope,
) -> Option<LimitReport> {
    let known = gauge.limit_gate().map(LimitGate::limit);
    let named = match (gauge.take_named_limit(), scope, known) {
        (NamedLimit::Unknown, ReportScope::NewLeader, Some(limit)) => NamedLimit::Held(limit),
        (named, _, _) => named,
    };
    let requests = gauge
        .limit_gate_mut()
        .map(LimitGate::take_requests)
        .unwrap_or_default();
    let is_empty = named == NamedLimit::Unknown && requests == LimitedRequests::default();
    (!is_empty).then(|| LimitReport {
        server: ServerHash::of(server),
        named,
        requests,
    })
}
