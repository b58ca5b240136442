//! One host and the recording servers of one service, without a store.

use {
    super::fixtures::{TestHost, entry, owners_with, start_host_with, version},
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
    camphorcove_gateway::state::FleetUpdate,
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
    },
    std::time::{Duration, Instant},
};

/// Time within which hosts elect a leader and grant all keys, or choose a certain server, on a busy
/// machine.
pub const ELECTION_TIME: Duration = Duration::from_secs(10);

/// Requests after which a host has found a fast server and keeps to it.
const FIRST_REQUESTS: usize = 20;

/// One host and the servers `s-0`, `s-1` and so on of one service, the first of which owns all keys.
pub struct SingleHost {
    pub host: TestHost,
    pub ledger: OwnershipLedger,
    pub servers: Vec<OwningServer>,
    pub entries: Vec<ServerEntry>,
    pub service: &'static str,
}

/// Starts servers that record in `ledger`.
pub async fn start_servers(
    service: &str,
    count: usize,
    ledger: &OwnershipLedger,
) -> (Vec<OwningServer>, Vec<ServerEntry>) {
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..count {
        let server = OwningServer::start(&format!("s-{number}"), ledger).await;
        entries.push(entry(&server.id, service, server.address));
        servers.push(server);
    }
    (servers, entries)
}

/// Starts one host with `count` servers.
pub async fn start_single_host(service: &'static str, count: usize) -> SingleHost {
    let ledger = OwnershipLedger::default();
    ledger.assume_one_host();
    let (servers, entries) = start_servers(service, count, &ledger).await;
    let host = start_host_with(entries.clone()).await;
    if service == "keyed" {
        host.state.set_owners(owners_with(&entries[0]), version(1));
        servers[0].hold_all_keys();
    }
    SingleHost {
        host,
        ledger,
        servers,
        entries,
        service,
    }
}

/// Sends an idempotent request to a service, with key 7 if it is keyed.
pub async fn read(host: &TestHost, service: &str) -> CallerResponse {
    let text = match service {
        "keyed" => request("GET", "/key/a", "r", &key_header(7), ""),
        _ => request("GET", "/read/a", "r", "", ""),
    };
    call(host.address, &text).await
}

/// Sends requests until the host prefers one of two servers, lets `change` change this server and
/// sends requests until it has got one more. Returns its id.
pub async fn change_preferred_server(
    host: &TestHost,
    service: &str,
    ledger: &OwnershipLedger,
    change: impl FnOnce(&str),
) -> &'static str {
    for _ in 0..FIRST_REQUESTS {
        read(host, service).await;
    }
    let preferred = match ledger.requests("s-0") >= ledger.requests("s-1") {
        true => "s-0",
        false => "s-1",
    };
    change(preferred);
    let known = ledger.requests(preferred);
    let limit = Instant::now() + ELECTION_TIME;
    while ledger.requests(preferred) == known {
        assert!(Instant::now() < limit, "never chosen");
        assert_eq!(read(host, service).await.status, 200);
    }
    preferred
}

/// Removes and writes server entries, as a datagram of the leader at this revision does.
pub fn update_entries(host: &TestHost, from: u64, put: Vec<ServerEntry>, removed: Vec<ServerId>) {
    let update = FleetUpdate {
        from: version(from),
        to: version(from + 1),
        put,
        removed,
    };
    assert!(host.state.update_fleet(update));
}

impl SingleHost {
    pub async fn read(&self) -> CallerResponse {
        read(&self.host, self.service).await
    }

    /// Number of requests that reached all servers.
    pub fn requests(&self) -> usize {
        let requests = |entry: &ServerEntry| self.ledger.requests(entry.id.as_str());
        self.entries.iter().map(requests).sum()
    }
}
