//! A leader that is cut off from the store and from the other hosts, and a successor that hears from these.

mod support;

use {
    camphorcove_core::ids::HostId,
    camphorcove_gateway::{
        leader::{DigestReceived, ReportReceived},
        peers::Digest,
    },
    camphorcove_platform_standin::{
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    camphorcove_standin::proxy::ProxyStandin,
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        fixtures::{entry, idle_report},
        leader_hosts::{LeaderHost, deaf_leader_host, digest},
        owned_region::{is_owned, owners_of, owning_servers, stored, until},
    },
    tokio::{net::UdpSocket, task::JoinHandle, time::sleep},
};

/// Hosts whose reports are sent by the test.
const OTHERS: u64 = 9;

/// Interval of their reports.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a leader has counted the hosts that report, and has written the list.
const COUNT_TIME: Duration = Duration::from_millis(3_500);

/// Time after which the authority of a leader without the store has ended, and all its leases.
const AUTHORITY_TIME: Duration = Duration::from_millis(16_500);

/// What the other hosts do before the leader is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherHosts {
    /// They are dark for so long that the leader counts only itself.
    DarkBefore,
    /// They report until the cut.
    ReportBefore,
    /// They report, and a build that does not know the electors has written the assignment last.
    UnderOlderBuild,
}

fn host_id(number: u64) -> HostId {
    format!("other-{number}").parse().expect("valid id")
}

fn address_of(number: u64) -> SocketAddr {
    ([127, 0, 0, 1], 9 + u16::try_from(number).unwrap_or(0)).into()
}

/// Reports of the other hosts for this term, until the task is ended.
fn report_to(host: &LeaderHost, term: u64) -> JoinHandle<()> {
    let actor = host.actor.clone();
    tokio::spawn(async move {
        loop {
            for number in 0..OTHERS {
                let report = idle_report(host_id(number), number, term);
                let from = address_of(number);
                if actor.tell(ReportReceived { report, from }).await.is_err() {
                    return;
                }
            }
            sleep(REPORT_PAUSE).await;
        }
    })
}

/// A host that hears of others only what the test tells it, and reaches the servers at these addresses.
async fn isolated_host(
    name: &str,
    store: SocketAddr,
    servers: &[(&str, SocketAddr)],
) -> LeaderHost {
    let entries = servers
        .iter()
        .map(|(id, address)| entry(id, "keyed", *address));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    deaf_leader_host(name, store, entries.collect(), Arc::new(socket))
}

/// Region with one server that owns all keys, and a second one that only the successor knows.
struct SplitRegion {
    store: StoreStandin,
    store_address: SocketAddr,
    ledger: OwnershipLedger,
    servers: Vec<OwningServer>,
    /// Way of all hosts to the first server.
    server_link: ProxyStandin,
    /// Way of the leader to the store.
    _store_link: ProxyStandin,
    _leader: LeaderHost,
}

async fn split_region(others: OtherHosts) -> SplitRegion {
    let (store, store_address) = StoreStandin::start().await;
    let (ledger, servers) = owning_servers(2).await;
    let store_link = ProxyStandin::to(store_address).await.expect("a proxy");
    let server_link = ProxyStandin::to(servers[0].address).await.expect("a proxy");
    let known = [(servers[0].id.as_str(), server_link.address())];
    let leader = isolated_host("host-0", store_link.address(), &known).await;
    let reports = report_to(&leader, 1);
    until("owned", || {
        stored(&store).is_some_and(|state| is_owned(&state))
    })
    .await;
    sleep(COUNT_TIME).await;
    if others == OtherHosts::DarkBefore {
        reports.abort();
        sleep(COUNT_TIME).await;
    }
    store_link.change(|faults| faults.cut = true);
    reports.abort();
    if others == OtherHosts::UnderOlderBuild {
        let mut content = store.spec("camphorcove", "owners").expect("an assignment");
        let fields = content.as_object_mut().expect("an object");
        fields.remove("electors");
        store.put("camphorcove", "owners", content);
    }
    SplitRegion {
        store,
        store_address,
        ledger,
        servers,
        server_link,
        _store_link: store_link,
        _leader: leader,
    }
}

/// Guards against two leaders that each count a majority of the hosts: the successor does not reach the owner of
/// the keys and gave them to another server, while the earlier leader renewed the owner's lease.
#[rstest]
#[case::after_most_hosts_were_dark(OtherHosts::DarkBefore)]
#[case::while_all_hosts_report(OtherHosts::ReportBefore)]
#[case::after_an_older_build(OtherHosts::UnderOlderBuild)]
#[tokio::test]
async fn successor_does_not_act_beside_a_leader_that_counts_other_hosts(
    #[case] others: OtherHosts,
) {
    let region = split_region(others).await;
    // The leader goes on over its open connections.
    region.server_link.change(|faults| faults.refuse = true);
    let servers = [
        (region.servers[0].id.as_str(), region.server_link.address()),
        (region.servers[1].id.as_str(), region.servers[1].address),
    ];

    let successor = isolated_host("host-1", region.store_address, &servers).await;
    until("read", || successor.state.owners().is_some()).await;
    let digest = Digest {
        peers: (0..=OTHERS).map(address_of).collect(),
        ..digest(7, 1, true)
    };
    let from = address_of(OTHERS);
    let last_digest = DigestReceived { digest, from };
    successor.actor.ask(last_digest).await.expect("actor lives");
    until("led by the successor", || successor.state.is_leader()).await;
    let reports = report_to(&successor, 2);
    sleep(AUTHORITY_TIME).await;
    until("owned by a server that the successor reaches", || {
        let state = stored(&region.store).expect("an assignment");
        let owners = owners_of(&state);
        is_owned(&state) && owners.values().all(|owner| *owner == region.servers[1].id)
    })
    .await;
    reports.abort();

    assert_eq!(region.ledger.violations(), Vec::<String>::new());
}
