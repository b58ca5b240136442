//! Servers that announce in their answers that they are about to leave, while their entries in the
//! store say that they are ready.

mod support;

use {
    camphorcove_gateway::state::{LeavingServer, ReportScope, ServerHash, VersionSpan},
    camphorcove_platform_standin::{
        owning_server::{OwnershipLedger, OwningServer},
        scripted_server::{ScriptedServer, Step, complete_response, response},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    support::{
        fixtures::{
            TARGET_LATENCY, TIME_LIMIT, entry, owners_with, start_host_with, start_listener,
            version,
        },
        leader_hosts::leader_host_with,
        single_host::{
            ELECTION_TIME, SingleHost, change_preferred_server, read, start_servers,
            start_single_host, update_entries,
        },
    },
    tokio::time::sleep,
};

/// Time after the announcement from which a server may get no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time within which all hosts learn from the leader what one of them knows: a report, a digest
/// and the move of the keys, on a busy machine.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Requests that show where a host sends them.
const REQUESTS: usize = 20;

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

/// Makes the only server announce that it leaves, in an answer to a request.
async fn announce(single: &SingleHost) {
    single.ledger.announce_leaving("s-0");
    assert_eq!(single.read().await.status, 200);
}

/// Makes the host believe that the entries of the servers say "ready" after all.
fn change_entries(single: &SingleHost, change: EntryChange) {
    let (host, entries) = (&single.host, single.entries.clone());
    match change {
        EntryChange::Listed => {
            let span = VersionSpan {
                from: version(2),
                through: version(2),
                newest: version(2),
            };
            host.state.replace_fleet(entries, span);
        }
        EntryChange::Updated => update_entries(host, 1, entries, Vec::new()),
        EntryChange::RemovedAndWritten => {
            update_entries(host, 1, Vec::new(), vec![entries[0].id.clone()]);
            host.state.expire_fleet();
            update_entries(host, 2, entries, Vec::new());
        }
    }
}

/// Guards against new requests for a server of a service without keys that is about to leave.
#[tokio::test]
async fn leaving_server_gets_no_new_requests_while_another_is_ready() {
    let single = start_single_host("plain", 2).await;
    let ledger = &single.ledger;
    let announce = |server: &str| ledger.announce_leaving(server);
    let leaving = change_preferred_server(&single.host, "plain", ledger, announce).await;
    let before = ledger.requests(leaving);

    for _ in 0..REQUESTS {
        assert_eq!(single.read().await.status, 200);
    }

    assert_eq!(ledger.requests(leaving), before);
    assert_eq!(single.host.state.leaving_servers(), 1);
}

/// Guards against requests that reach the only server or an owner after it has left, as its entry in
/// the store says "ready", and against refusals while it takes requests.
#[rstest]
#[tokio::test]
async fn only_server_serves_on_until_shortly_before_it_leaves(
    #[values("plain", "keyed")] service: &'static str,
) {
    let single = start_single_host(service, 1).await;
    announce(&single).await;

    let meanwhile = single.read().await;
    sleep(DRAIN_TIME).await;
    let later = single.read().await;

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
    #[values("plain", "keyed")] service: &'static str,
) {
    let single = start_single_host(service, 1).await;
    announce(&single).await;
    sleep(DRAIN_TIME).await;
    let before = single.requests();

    change_entries(&single, change);
    let response = single.read().await;

    assert_eq!(response.status, 503);
    assert_eq!(single.requests(), before);
}

/// Guards against a server that has started again and gets no requests, because its earlier start
/// had announced to leave.
#[tokio::test]
async fn next_start_of_a_server_gets_requests() {
    let single = start_single_host("plain", 1).await;
    announce(&single).await;
    single.servers[0].crash();
    let again = OwningServer::start("s-0", &single.ledger).await;
    let mut restarted = entry("s-0", "plain", again.address);
    restarted.incarnation = 2;

    update_entries(&single.host, 1, vec![restarted], Vec::new());
    sleep(DRAIN_TIME).await;

    assert_eq!(single.read().await.status, 200);
    assert_eq!(single.host.state.leaving_servers(), 0);
}

/// Guards against a retry that reaches the owner after the time for which it takes requests, as the
/// first attempt was sent within it.
#[tokio::test]
async fn retry_is_not_sent_to_an_owner_that_has_left_meanwhile() {
    let lines = "Server-Leaving: 1\r\nContent-Length: 0\r\n";
    let silent = vec![Step::Wait(TIME_LIMIT * 4)];
    let announcing = response("200 OK", true, lines, "");
    let scripts = vec![announcing, silent, complete_response("late")];
    let server = ScriptedServer::start(scripts).await;
    let owner = entry("s-1", "keyed", server.address);
    let host = start_host_with(vec![owner.clone()]).await;
    host.state.set_owners(owners_with(&owner), version(1));
    read(&host, "keyed").await;
    // The host waits for at least the target latency before it sends a request again.
    sleep(DRAIN_TIME / 2).await;

    let retried = read(&host, "keyed").await;

    assert!(matches!(retried.status, 502 | 504), "{}", retried.status);
    assert!(TARGET_LATENCY * 5 >= DRAIN_TIME);
    assert_eq!(server.log().requests.len(), 2);
}

/// Guards against hosts that learn only from their own requests that a server leaves: the one that
/// knows tells the leader, which moves the keys and tells the others.
#[rstest]
#[tokio::test]
async fn other_hosts_learn_from_the_leader_that_a_server_leaves(
    #[values("plain", "keyed")] service: &'static str,
) {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let (_servers, entries) = start_servers(service, 2, &ledger).await;
    let mut hosts = Vec::new();
    for number in 0..3 {
        let host = leader_host_with(&format!("host-{number}"), store, entries.clone()).await;
        hosts.push(start_listener(host.state).await);
    }
    let limit = Instant::now() + ELECTION_TIME;
    for host in &hosts {
        while read(host, service).await.status != 200 || host.state.owners().is_none() {
            assert!(Instant::now() < limit, "never served");
            sleep(Duration::from_millis(50)).await;
        }
    }
    let announce = |server: &str| ledger.announce_leaving(server);
    let leaving = change_preferred_server(&hosts[2], service, &ledger, announce).await;

    sleep(SPREAD_TIME).await;
    let before = ledger.requests(leaving);
    for host in &hosts {
        for _ in 0..REQUESTS {
            assert_eq!(read(host, service).await.status, 200);
        }
        assert_eq!(host.state.leaving_servers(), 1);
    }

    assert_eq!(ledger.requests(leaving), before);
    assert_eq!(ledger.violations(), Vec::<String>::new());
}

/// Guards against an announcement that is lost with one datagram or with the leader that knew it:
/// each report names it, and a digest that names it again changes nothing.
#[tokio::test]
async fn each_report_names_a_leaving_server() {
    let single = start_single_host("plain", 1).await;
    announce(&single).await;
    let state = &single.host.state;

    let first = state.take_load_report(ReportScope::Changes).leaving;
    state.record_leaving_servers(&first);
    let second = state.take_load_report(ReportScope::Changes).leaving;

    let server = ServerHash::of(&single.entries[0].id);
    let incarnation = single.entries[0].incarnation;
    let leaving = LeavingServer {
        server,
        incarnation,
    };
    assert_eq!((first, second), (vec![leaving], vec![leaving]));
}
