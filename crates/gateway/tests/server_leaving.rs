//! Servers that announce in their answers that they are about to leave, while their entries in the
//! store say that they are ready.

mod support;

use {
    camphorcove_core::{fleet::ServerEntry, ids::ServerId},
    camphorcove_gateway::state::{FleetUpdate, VersionSpan},
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
        scripted_server::{ScriptedServer, Step, complete_response, response},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::{
        fixtures::{
            TARGET_LATENCY, TIME_LIMIT, TestHost, entry, owners_with, start_host_with,
            start_listener, version,
        },
        leader_hosts::leader_host_with,
    },
    tokio::time::sleep,
};

/// Time after the announcement from which a server may get no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time within which all hosts learn from the leader what one of them knows: a report, a digest
/// and the move of the keys, on a busy machine.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Time within which hosts elect a leader and grant all keys, on a busy machine.
const ELECTION_TIME: Duration = Duration::from_secs(10);

/// What happens to the entry of a server after it has announced to leave.
#[derive(Clone, Copy, Debug)]
enum EntryChange {
    /// The store lists it as ready.
    Listed,
    /// A datagram of the leader says that it is ready.
    Updated,
    /// It is removed and written again, as after an outage of the store.
    RemovedAndWritten,
}

/// One host and the servers of one service.
struct SingleHost {
    host: TestHost,
    ledger: OwnershipLedger,
    servers: Vec<OwningServer>,
    entries: Vec<ServerEntry>,
}

async fn start_single_host(service: &str, servers: usize) -> SingleHost {
    let ledger = OwnershipLedger::default();
    ledger.assume_one_host();
    let (servers, entries) = start_servers(service, servers, &ledger).await;
    let host = start_host_with(entries.clone()).await;
    if service == "keyed" {
        let owned = owners_with(&entries[0]);
        host.state.set_owners(owned, version(1));
        servers[0].hold_all_keys();
    }
    SingleHost {
        host,
        ledger,
        servers,
        entries,
    }
}

async fn start_servers(
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

impl SingleHost {
    async fn read(&self, id: &str) -> CallerResponse {
        call(self.host.address, &request("GET", "/read/a", id, "", "")).await
    }

    async fn read_key(&self, id: &str) -> CallerResponse {
        read_key(&self.host, id).await
    }

    /// Makes the only server announce that it leaves, in an answer to a request.
    async fn announce(&self) {
        self.ledger.announce_leaving("s-0");
        let response = match self.entries[0].service.as_str() {
            "keyed" => self.read_key("announce").await,
            _ => self.read("announce").await,
        };
        assert_eq!(response.status, 200);
    }

    /// Makes the host believe that the entry of the first server says "ready" after all.
    fn change_entry(&self, change: EntryChange) {
        let state = &self.host.state;
        let first = &self.entries[0];
        let update = |revision, put: &[ServerEntry], removed: &[ServerId]| {
            state.update_fleet(FleetUpdate {
                from: version(revision),
                to: version(revision + 1),
                put: put.to_vec(),
                removed: removed.to_vec(),
            })
        };
        match change {
            EntryChange::Listed => {
                let span = VersionSpan {
                    from: version(2),
                    through: version(2),
                    newest: version(2),
                };
                state.replace_fleet(self.entries.clone(), span);
            }
            EntryChange::Updated => assert!(update(1, std::slice::from_ref(first), &[])),
            EntryChange::RemovedAndWritten => {
                assert!(update(1, &[], std::slice::from_ref(&first.id)));
                state.expire_fleet();
                assert!(update(2, std::slice::from_ref(first), &[]));
            }
        }
    }
}

async fn read_key(host: &TestHost, id: &str) -> CallerResponse {
    let text = request("GET", "/key/a", id, &key_header(7), "");
    call(host.address, &text).await
}

/// Guards against new requests for a server of a service without keys that is about to leave.
#[tokio::test]
async fn leaving_server_gets_no_new_requests_while_another_is_ready() {
    const REQUESTS: usize = 30;
    let single = start_single_host("plain", 2).await;
    for number in 0..REQUESTS {
        single.read(&format!("before-{number}")).await;
    }
    let leaving = busiest_server(&single.ledger);
    single.ledger.announce_leaving(leaving);
    let known = single.ledger.requests(leaving);
    let limit = Instant::now() + ELECTION_TIME;
    while single.ledger.requests(leaving) == known {
        assert!(Instant::now() < limit, "never chosen");
        single.read("announce").await;
    }
    let before = single.ledger.requests(leaving);

    for number in 0..REQUESTS {
        assert_eq!(single.read(&format!("r-{number}")).await.status, 200);
    }

    assert_eq!(single.ledger.requests(leaving), before);
    assert_eq!(single.host.state.leaving_servers(), 1);
}

/// Guards against callers who are refused although the only server takes requests until it leaves,
/// and against requests that reach it later.
#[tokio::test]
async fn only_server_serves_on_until_shortly_before_it_leaves() {
    let single = start_single_host("plain", 1).await;
    single.announce().await;

    let meanwhile = single.read("r-1").await;
    sleep(DRAIN_TIME).await;
    let later = single.read("r-2").await;

    assert_eq!((meanwhile.status, later.status), (200, 503));
    assert_eq!(single.ledger.violations(), Vec::<String>::new());
}

/// Guards against keyed requests that reach an owner after it has left, as its entry in the store
/// says "ready", and against refusals while its keys may still move.
#[tokio::test]
async fn leaving_owner_serves_on_until_shortly_before_it_leaves() {
    let single = start_single_host("keyed", 1).await;
    single.announce().await;

    let meanwhile = single.read_key("r-1").await;
    sleep(DRAIN_TIME).await;
    let later = single.read_key("r-2").await;

    assert_eq!((meanwhile.status, later.status), (200, 503));
    assert!(later.body.starts_with("not run"), "{}", later.body);
    assert_eq!(single.ledger.violations(), Vec::<String>::new());
}

/// Guards against an entry of the store that makes the host send requests again to a server that
/// has announced to leave: a later list, a datagram, or its return after an outage.
#[rstest]
#[case::list(EntryChange::Listed)]
#[case::datagram(EntryChange::Updated)]
#[case::outage(EntryChange::RemovedAndWritten)]
#[tokio::test]
async fn ready_entry_does_not_bring_a_leaving_server_back(
    #[case] change: EntryChange,
    #[values("plain", "keyed")] service: &str,
) {
    let single = start_single_host(service, 1).await;
    single.announce().await;
    sleep(DRAIN_TIME).await;
    let before = single.ledger.requests("s-0");

    single.change_entry(change);
    let response = match service {
        "keyed" => single.read_key("r-1").await,
        _ => single.read("r-1").await,
    };

    assert_eq!(response.status, 503);
    assert_eq!(single.ledger.requests("s-0"), before);
}

/// Guards against a server that has started again and gets no requests, because its earlier start
/// had announced to leave.
#[tokio::test]
async fn next_start_of_a_server_gets_requests() {
    let single = start_single_host("plain", 1).await;
    single.announce().await;
    single.servers[0].crash();
    let again = OwningServer::start("s-0", &single.ledger).await;
    let mut restarted = entry("s-0", "plain", again.address);
    restarted.incarnation = 2;

    single.host.state.update_fleet(FleetUpdate {
        from: version(1),
        to: version(2),
        put: vec![restarted],
        removed: Vec::new(),
    });
    sleep(DRAIN_TIME).await;

    assert_eq!(single.read("r-1").await.status, 200);
    assert_eq!(single.host.state.leaving_servers(), 0);
}

/// Guards against a retry that reaches the owner after the time for which it takes requests, as the
/// first attempt was sent within it.
#[tokio::test]
async fn retry_is_not_sent_to_an_owner_that_has_left_meanwhile() {
    let lines = "Server-Leaving: 1\r\nContent-Length: 0\r\n";
    let silent = vec![Step::Wait(TIME_LIMIT * 4)];
    let scripts = vec![
        response("200 OK", true, lines, ""),
        silent,
        complete_response("late"),
    ];
    let server = ScriptedServer::start(scripts).await;
    let owner = entry("s-1", "keyed", server.address);
    let host = start_host_with(vec![owner.clone()]).await;
    host.state.set_owners(owners_with(&owner), version(1));
    read_key(&host, "r-1").await;
    // The host waits for at least the target latency before it sends a request again.
    sleep(DRAIN_TIME / 2).await;

    let read = read_key(&host, "r-2").await;

    assert!(matches!(read.status, 502 | 504), "{}", read.status);
    assert!(TARGET_LATENCY * 5 >= DRAIN_TIME);
    assert_eq!(server.log().requests.len(), 2);
}

/// Hosts of one site, a store and servers, with a leader among the hosts.
struct Site {
    hosts: Vec<TestHost>,
    ledger: OwnershipLedger,
    _servers: Vec<OwningServer>,
}

async fn start_site(service: &str) -> Site {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let (servers, entries) = start_servers(service, 2, &ledger).await;
    let mut hosts = Vec::new();
    for number in 0..3 {
        let host = leader_host_with(&format!("host-{number}"), store, entries.clone()).await;
        hosts.push(start_listener(host.state).await);
    }
    let limit = Instant::now() + ELECTION_TIME;
    for host in &hosts {
        while read_any(host, service).await.status != 200 || host.state.owners().is_none() {
            assert!(Instant::now() < limit, "never served");
            sleep(Duration::from_millis(50)).await;
        }
    }
    Site {
        hosts,
        ledger,
        _servers: servers,
    }
}

async fn read_any(host: &TestHost, service: &str) -> CallerResponse {
    match service {
        "keyed" => read_key(host, "r").await,
        _ => call(host.address, &request("GET", "/read/a", "r", "", "")).await,
    }
}

/// Server that has got most requests; hosts keep to a server that answers fast.
fn busiest_server(ledger: &OwnershipLedger) -> &'static str {
    match ledger.requests("s-0") >= ledger.requests("s-1") {
        true => "s-0",
        false => "s-1",
    }
}

/// Guards against hosts that learn only from their own requests that a server leaves: the one that
/// knows tells the leader, which moves the keys and tells the others.
#[rstest]
#[case::plain("plain")]
#[case::keyed("keyed")]
#[tokio::test]
async fn other_hosts_learn_from_the_leader_that_a_server_leaves(#[case] service: &str) {
    const REQUESTS: usize = 20;
    let site = start_site(service).await;
    for _ in 0..REQUESTS {
        read_any(&site.hosts[2], service).await;
    }
    let leaving = busiest_server(&site.ledger);
    site.ledger.announce_leaving(leaving);
    let known = site.ledger.requests(leaving);
    let limit = Instant::now() + ELECTION_TIME;
    while site.ledger.requests(leaving) == known {
        assert!(Instant::now() < limit, "never chosen");
        assert_eq!(read_any(&site.hosts[2], service).await.status, 200);
    }

    sleep(SPREAD_TIME).await;
    let before = site.ledger.requests(leaving);
    for _ in 0..REQUESTS {
        for host in &site.hosts {
            assert_eq!(read_any(host, service).await.status, 200);
        }
    }

    assert_eq!(site.ledger.requests(leaving), before);
    for host in &site.hosts {
        assert_eq!(host.state.leaving_servers(), 1);
    }
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
