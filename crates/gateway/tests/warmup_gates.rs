//! Servers that are cold and take few requests from all hosts together.

mod support;

use {
    camphorcove_core::{
        dispatch::{AdmittedShare, RequestRate},
        fleet::ServerEntry,
        ownership::RangePhase,
        routing::WarmupRule,
    },
    camphorcove_gateway::state::FleetUpdate,
    camphorcove_platform_standin::{
        caller::{call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    std::time::{Duration, Instant},
    support::{
        fixtures::{
            TestHost, entry, owners_with, start_host_with, start_listener, table_with_warmup,
            version,
        },
        leader_hosts::leader_host_with,
    },
    tokio::{
        task::JoinSet,
        time::{interval, sleep},
    },
};

/// Number of hosts that share a cold server.
const HOSTS: usize = 6;

/// Requests a second that a cold server takes.
const RATE: f64 = 2.5;

/// Requests that a cold server may get in any one second, by the settings of the fixtures.
const ALLOWANCE: f64 = RATE * 1.5 + 8.0;

/// Time for which servers stay cold: longer than a test sends requests.
const COLD_TIME: Duration = Duration::from_secs(30);

/// Time for which callers send requests, and the pause between two of them.
const LOAD_TIME: Duration = Duration::from_secs(5);
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Interval at which the requests of a server are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

fn warmup_rule() -> WarmupRule {
    WarmupRule {
        duration: COLD_TIME,
        rate: RequestRate::from_per_second(RATE),
    }
}

/// Hosts with a leader that share a cold and a warm server of one service.
struct ColdRegion {
    hosts: Vec<TestHost>,
    cold: OwningServer,
    /// Keeps the server running.
    _warm: OwningServer,
    ledger: OwnershipLedger,
}

async fn start_region(service: &str) -> ColdRegion {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let cold = OwningServer::start("s-cold", &ledger).await;
    let warm = OwningServer::start("s-warm", &ledger).await;
    let entries = vec![
        ServerEntry {
            warmup: COLD_TIME,
            ..entry(&cold.id, service, cold.address)
        },
        // Servers of the hosts' own zone, such as the cold one, are preferred.
        ServerEntry {
            zone: "zone-b".parse().expect("valid name"),
            ..entry(&warm.id, service, warm.address)
        },
    ];
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let host = leader_host_with(&format!("host-{number}"), store, entries.clone()).await;
        host.state.set_table(table_with_warmup(2, warmup_rule()));
        hosts.push(start_listener(host.state).await);
    }
    ColdRegion {
        hosts,
        cold,
        _warm: warm,
        ledger,
    }
}

impl ColdRegion {
    /// Sends requests to all hosts in turn; returns the statuses of the responses.
    async fn send_load(&self, path: &str, key: fn(u64) -> Option<u64>) -> Vec<u16> {
        let mut calls = JoinSet::new();
        let end = Instant::now() + LOAD_TIME;
        let mut number = 0;
        while Instant::now() < end {
            for host in &self.hosts {
                number += 1;
                let extra = key(number).map(key_header).unwrap_or_default();
                let text = request("GET", path, &format!("r-{number}"), &extra, "");
                let address = host.address;
                calls.spawn(async move { call(address, &text).await.status });
                sleep(REQUEST_INTERVAL).await;
            }
        }
        calls.join_all().await
    }
}

/// Most requests that reach a server within any second of `time`.
async fn count_busiest_second(ledger: OwnershipLedger, server: String, time: Duration) -> usize {
    let mut counts = Vec::new();
    let mut ticks = interval(COUNT_INTERVAL);
    let end = Instant::now() + time;
    while Instant::now() < end {
        ticks.tick().await;
        counts.push(ledger.requests(&server));
    }
    let spans = counts.windows(11).map(|counts| counts[10] - counts[0]);
    spans.max().unwrap_or(0)
}

fn is_owned(host: &TestHost) -> bool {
    let Some((owners, _)) = host.state.owners() else {
        return false;
    };
    let mut records = owners.services.values().flat_map(|owners| &owners.ranges);
    let is_owned = |phase: &RangePhase| matches!(phase, RangePhase::Owned { .. });
    !owners.services.is_empty() && records.all(|record| is_owned(&record.phase))
}

/// Guards against hosts that together flood a server that has just started, against refusing what a warm
/// server can take, and against a leader that does not tell the hosts its share.
#[tokio::test]
async fn cold_server_without_keys_gets_few_requests_and_the_rest_goes_to_others() {
    let region = start_region("plain").await;
    let counting = tokio::spawn(count_busiest_second(
        region.ledger.clone(),
        region.cold.id.clone(),
        LOAD_TIME,
    ));

    let statuses = region.send_load("/read/a", |_| None).await;

    let most = counting.await.expect("counts");
    assert!(most as f64 <= ALLOWANCE, "{most} in a second");
    assert!(region.ledger.requests(&region.cold.id) > 0);
    assert!(statuses.iter().all(|status| *status == 200));
    for host in &region.hosts {
        let shares = host.state.warmup_shares();
        let half = AdmittedShare::from_fraction(0.5);
        assert!(shares.len() == 1 && shares[0].share < half, "{shares:?}");
    }
}

/// Guards against a leader that gives a cold server as many keys as a warm one: the hosts would refuse
/// most of their requests.
#[tokio::test]
async fn cold_server_gets_few_keys_and_most_requests_are_served() {
    let region = start_region("keyed").await;
    let limit = Instant::now() + Duration::from_secs(10);
    while !region.hosts.iter().all(is_owned) {
        assert!(Instant::now() < limit, "never owned");
        sleep(Duration::from_millis(50)).await;
    }
    let counting = tokio::spawn(count_busiest_second(
        region.ledger.clone(),
        region.cold.id.clone(),
        LOAD_TIME * 2,
    ));
    let key = |number: u64| Some(number * 7_919 % 65_536);
    region.send_load("/key/a", key).await;

    let statuses = region.send_load("/key/a", key).await;

    let most = counting.await.expect("counts");
    assert!(most as f64 <= ALLOWANCE, "{most} in a second");
    let served = statuses.iter().filter(|status| **status == 200).count();
    let served = served as f64 / statuses.len() as f64;
    assert!(served >= 0.9, "{served} of the requests served");
}

/// Sends requests for one key without a pause; returns how many were served and the last refusal.
async fn send_burst(host: &TestHost, name: &str) -> (usize, Option<(u16, String)>) {
    let (mut served, mut refusal) = (0, None);
    for number in 0..BURST {
        let text = request(
            "GET",
            "/key/a",
            &format!("{name}-{number}"),
            &key_header(7),
            "",
        );
        let response = call(host.address, &text).await;
        match response.status {
            200 => served += 1,
            status => refusal = Some((status, response.body)),
        }
    }
    (served, refusal)
}

/// Requests of a burst.
const BURST: usize = 20;

/// Guards against a host that takes a server for warm although a later entry or the end of an
/// evacuation makes it cold again, and against one that goes on limiting a warm server.
#[tokio::test]
async fn gate_of_an_owner_follows_later_entries_and_cold_zones() {
    let ledger = OwnershipLedger::default();
    let server = OwningServer::start("s-1", &ledger).await;
    server.hold_all_keys();
    let entry_with = |warmup| ServerEntry {
        warmup,
        ..entry(&server.id, "keyed", server.address)
    };
    let host = start_host_with(vec![entry_with(COLD_TIME)]).await;
    host.state.set_table(table_with_warmup(2, warmup_rule()));
    host.state
        .set_owners(owners_with(&entry_with(COLD_TIME)), version(1));
    let update = |from: u64, warmup| FleetUpdate {
        from: version(from),
        to: version(from + 1),
        put: vec![entry_with(warmup)],
        removed: Vec::new(),
    };

    let (cold, refusal) = send_burst(&host, "cold").await;
    assert!(host.state.update_fleet(update(1, Duration::ZERO)));
    let (warm, _) = send_burst(&host, "warm").await;
    assert!(host.state.update_fleet(update(2, COLD_TIME)));
    let (cold_again, _) = send_burst(&host, "again").await;
    assert!(host.state.update_fleet(update(3, Duration::ZERO)));
    host.state
        .mark_zone_cold(&"zone-a".parse().expect("valid name"));
    let (zone_cold, _) = send_burst(&host, "zone").await;

    assert!(cold <= 2, "{cold} served while cold");
    assert_eq!(warm, BURST);
    assert!(cold_again <= 2, "{cold_again} served while cold again");
    assert!(zone_cold <= 2, "{zone_cold} served in a cold zone");
    let (status, body) = refusal.expect("a refusal");
    assert_eq!(status, 503);
    assert!(body.starts_with("not run"), "{body}");
    assert_eq!(host.state.cold_servers(), 1);
}
