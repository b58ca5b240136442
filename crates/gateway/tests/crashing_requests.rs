//! Requests that crash each server that runs them.

mod support;

use {
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, request},
        crash_trigger::{CrashClose, CrashTrigger},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    rstest::rstest,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{
        fixtures::{TestHost, entry, start_listener},
        leader_hosts::leader_host_with,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Hosts and servers of the region.
const HOSTS: usize = 4;
const SERVERS: usize = 12;

/// Time for which a server is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// Time for which the crashing request comes, and the pause before it comes again.
const LOAD_TIME: Duration = Duration::from_secs(7);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the third crash from which the request counts, and how often it may still reach a server.
const NOTICE_TIME: Duration = Duration::from_secs(3);
const MAX_LATER_CRASHES: usize = 3;

/// Longest time in which the hosts have a leader that all of them report to.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

struct CrashRegion {
    hosts: Vec<TestHost>,
    ledger: OwnershipLedger,
    restarts: JoinHandle<()>,
}

async fn start_region() -> CrashRegion {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(OwningServer::start(&format!("s-{number}"), &ledger).await);
    }
    let entries: Vec<_> = servers
        .iter()
        .map(|server| entry(&server.id, "plain", server.address))
        .collect();
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let host = leader_host_with(&format!("host-{number}"), store, entries.clone()).await;
        hosts.push(start_listener(host.state).await);
    }
    let restarts = restart_crashed_servers(servers, ledger.clone());
    sleep(SETTLE_TIME).await;
    CrashRegion {
        hosts,
        ledger,
        restarts,
    }
}

/// Starts each server that crashes again after some time, at its address.
fn restart_crashed_servers(
    mut servers: Vec<OwningServer>,
    ledger: OwnershipLedger,
) -> JoinHandle<()> {
    let mut crashes = ledger.listen_for_crashes();
    tokio::spawn(async move {
        while let Some(id) = crashes.recv().await {
            let at = servers.iter().position(|server| server.id == id);
            let at = at.expect("a known server");
            let address = servers[at].address;
            sleep(DOWN_TIME / SERVERS as u32).await;
            servers[at] = OwningServer::start_on(address, &id, &ledger).await;
        }
    })
}

fn trigger(method: &str) -> CrashTrigger {
    let (path, body) = match method {
        "GET" => ("/read/deadly", ""),
        _ => ("/write/deadly", "deadly"),
    };
    CrashTrigger {
        method: method.into(),
        path: path.into(),
        cookie: "caller=7".into(),
        body: body.into(),
    }
}

fn trigger_text(trigger: &CrashTrigger, id: &str) -> String {
    let cookie = format!("Cookie: {}\r\n", trigger.cookie);
    request(&trigger.method, &trigger.path, id, &cookie, &trigger.body)
}

async fn send(address: SocketAddr, text: String) -> CallerResponse {
    call(address, &text).await
}

/// Guards against a request that crashes server after server, because each host judges each attempt
/// alone, and against innocent requests that are refused beside it.
#[rstest]
#[case::idempotent("GET", CrashClose::Regular)]
#[case::idempotent_reset("GET", CrashClose::Reset)]
#[case::at_most_once_with_body("POST", CrashClose::Regular)]
#[tokio::test]
async fn request_that_crashes_servers_is_withheld_by_all_hosts(
    #[case] method: &str,
    #[case] close: CrashClose,
) {
    let region = start_region().await;
    let trigger = trigger(method);
    region.ledger.add_trigger(trigger.clone(), close);
    let started = Instant::now();
    let mut innocents = Vec::new();
    let mut last = None;
    let mut number = 0;

    while started.elapsed() < LOAD_TIME {
        let address = region.hosts[number % HOSTS].address;
        let response = send(address, trigger_text(&trigger, &format!("deadly-{number}"))).await;
        last = Some(response);
        // The same path and body, of another caller.
        let cookie = format!("Cookie: caller=8{number}\r\n");
        let id = format!("innocent-{number}");
        let text = request(method, &trigger.path, &id, &cookie, &trigger.body);
        innocents.push((started.elapsed(), send(address, text).await.status));
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }

    region.restarts.abort();
    let crashes = region.ledger.crashes(&trigger);
    let third = crashes.get(2).map(|crash| crash.at);
    let later = crashes
        .iter()
        .filter(|crash| third.is_some_and(|third| crash.at > third + NOTICE_TIME));
    assert!(
        later.count() <= MAX_LATER_CRASHES,
        "{} in all",
        crashes.len()
    );
    let last = last.expect("a response");
    assert_eq!(last.status, 503);
    assert!(last.head.contains("retry-after:"), "{}", last.head);
    let settled = NOTICE_TIME;
    let refused = innocents
        .iter()
        .filter(|(at, status)| *at > settled && *status != 200);
    assert_eq!(refused.count(), 0, "{innocents:?}");
}

/// Sends a request to a host again and again until `until`; returns the refusals that blame it.
async fn send_steadily(address: SocketAddr, text: String, until: Instant) -> Vec<String> {
    let mut blamed = Vec::new();
    while Instant::now() < until {
        let response = send(address, text.clone()).await;
        if response.body.contains("crashed") {
            blamed.push(response.body);
        }
    }
    blamed
}

/// Guards against a request that is refused because servers end under other ones while many callers
/// send it.
#[tokio::test]
async fn request_that_servers_answer_is_not_withheld_when_servers_end_under_others() {
    let region = start_region().await;
    let hot = request("GET", "/read/hot", "hot", "Cookie: caller=9\r\n", "");
    let until = Instant::now() + LOAD_TIME / 2;
    let mut senders = Vec::new();
    for host in &region.hosts {
        senders.push(tokio::spawn(send_steadily(
            host.address,
            hot.clone(),
            until,
        )));
    }

    let mut number = 0;
    while Instant::now() < until {
        // Another caller each time, so that none is withheld and servers go on ending.
        let trigger = CrashTrigger {
            cookie: format!("caller={number}"),
            ..trigger("GET")
        };
        region
            .ledger
            .add_trigger(trigger.clone(), CrashClose::Regular);
        let host = region.hosts[number % HOSTS].address;
        send(host, trigger_text(&trigger, &format!("deadly-{number}"))).await;
        number += 1;
        sleep(REQUEST_INTERVAL * 2).await;
    }

    region.restarts.abort();
    for sender in senders {
        assert_eq!(sender.await.expect("a sender"), Vec::<String>::new());
    }
}

/// Guards against a request that is refused because the servers which run it end as they have announced.
#[tokio::test]
async fn servers_that_end_as_announced_are_no_crashes() {
    let region = start_region().await;
    let trigger = trigger("GET");
    region
        .ledger
        .add_trigger(trigger.clone(), CrashClose::Regular);
    let host = &region.hosts[0];
    for number in 0..SERVERS {
        let id = format!("s-{number}").parse().expect("valid id");
        host.state.record_leaving(&id, 1);
    }

    for number in 0..4 {
        send(
            host.address,
            trigger_text(&trigger, &format!("long-{number}")),
        )
        .await;
    }

    region.restarts.abort();
    assert!(region.ledger.crashes(&trigger).len() > 1);
    assert!(!host.state.has_suspects());
}
