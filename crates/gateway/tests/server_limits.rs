//! Servers that limit the rate of requests from all hosts together.

mod support;

use {
    camphorcove_core::{
        dispatch::{AdmittedShare, NamedLimit, RequestRate},
        ids::ServerId,
        ownership::{KeyRange, RangePhase},
    },
    camphorcove_gateway::state::{ReportScope, ServerHash, SharedLimit},
    camphorcove_platform_standin::{
        caller::{CallerResponse, call, key_header, request},
        owning_server::{OwnershipLedger, OwningServer},
        store_standin::StoreStandin,
    },
    std::time::{Duration, Instant},
    support::{
        fixtures::{
            TestHost, entry, first_listing_span, host_state, start_host_with, start_listener,
        },
        leader_hosts::leader_host_with,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Number of hosts that share a server.
const HOSTS: usize = 6;

/// Requests a second that the limited server takes.
const LIMIT: f64 = 10.0;

/// Time from the first answer with a limit until the limit binds.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time for which callers send after the limit binds.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Pause between two requests, which go to the hosts in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Longest time until a request is refused that no server may take.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Hosts that share servers of the plain and the keyed service.
struct LimitedRegion {
    hosts: Vec<TestHost>,
    servers: Vec<OwningServer>,
    ledger: OwnershipLedger,
}

/// A response and the time until it came.
struct TimedResponse {
    response: CallerResponse,
    took: Duration,
}

async fn start_region(service: &str, servers: usize) -> LimitedRegion {
    let (_, store) = StoreStandin::start().await;
    let ledger = OwnershipLedger::default();
    let mut region = LimitedRegion {
        hosts: Vec::new(),
        servers: Vec::new(),
        ledger: ledger.clone(),
    };
    let mut entries = Vec::new();
    for number in 0..servers {
        let server = OwningServer::start(&format!("s-{number}"), &ledger).await;
        entries.push(entry(&server.id, service, server.address));
        region.servers.push(server);
    }
    for number in 0..HOSTS {
        let host = leader_host_with(&format!("host-{number}"), store, entries.clone()).await;
        region.hosts.push(start_listener(host.state).await);
    }
    region
}

impl LimitedRegion {
    /// Waits until all hosts know the owners of all keys.
    async fn wait_until_owned(&self) {
        let limit = Instant::now() + Duration::from_secs(10);
        for host in &self.hosts {
            for key in [0, 65_535] {
                let text = request("GET", "/key/a", "settle", &key_header(key), "");
                while call(host.address, &text).await.status != 200 {
                    assert!(Instant::now() < limit, "never owned");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Owner of a key, as the first host knows it.
    fn owner(&self, key: u16) -> ServerId {
        let (owners, _) = self.hosts[0].state.owners().expect("owners are known");
        let service = "keyed".parse().expect("valid name");
        let records = &owners.services[&service];
        let range = KeyRange {
            first: key,
            last: key,
        };
        match &records.overlapping(range)[0].phase {
            RangePhase::Owned { owner, .. } => owner.id.clone(),
            phase => panic!("key {key} is {phase:?}"),
        }
    }

    /// Sends requests to all hosts at a steady rate for `time`, each with the key that `key`
    /// returns for its number, and returns the responses.
    async fn send_load(
        &self,
        path: &str,
        key: fn(u64) -> Option<u64>,
        time: Duration,
    ) -> Vec<(Option<u64>, TimedResponse)> {
        let mut calls = JoinSet::new();
        let end = Instant::now() + time;
        let mut number = 0;
        while Instant::now() < end {
            for host in &self.hosts {
                number += 1;
                let (address, key) = (host.address, key(number));
                let extra = key.map(key_header).unwrap_or_default();
                let text = request("GET", path, &format!("r-{number}"), &extra, "");
                calls.spawn(async move {
                    let started = Instant::now();
                    let response = call(address, &text).await;
                    let took = started.elapsed();
                    (key, TimedResponse { response, took })
                });
                sleep(REQUEST_INTERVAL).await;
            }
        }
        calls.join_all().await
    }
}

/// Guards against hosts that together send a server of a service without keys more requests than
/// it takes, and against refusing what another server can take.
#[tokio::test]
async fn limited_server_gets_no_more_than_its_limit_and_the_rest_goes_to_others() {
    let region = start_region("plain", 2).await;
    region.ledger.set_limit("s-0", Some(LIMIT));
    let noticed = region.send_load("/read/a", |_| None, NOTICE_TIME).await;
    let from = Instant::now();

    let responses = region.send_load("/read/a", |_| None, LOAD_TIME).await;

    let (most, allowed) = region.ledger.busiest_span("s-0", from);
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    assert!(region.ledger.limited_arrivals("s-0") > 0);
    for (_, timed) in noticed.iter().chain(&responses) {
        assert_eq!(timed.response.status, 200, "{}", timed.response.body);
    }
}

/// Guards against hosts that together send the owner of keys more requests than it takes, against
/// callers who wait for a refusal or are not told when to come back, and against callers of other
/// owners who pay for it.
#[tokio::test]
async fn limited_owner_gets_no_more_than_its_limit_and_other_owners_serve_on() {
    let region = start_region("keyed", 2).await;
    region.wait_until_owned().await;
    let limited = region.owner(0);
    assert_ne!(region.owner(65_535), limited);
    // A few keys get all requests, so that the owner cannot be relieved by a move of other keys.
    let key = |number: u64| match number % 3 {
        0 => Some(65_535),
        _ => Some(0),
    };
    region.ledger.set_limit(limited.as_str(), Some(LIMIT));
    region.send_load("/key/a", key, NOTICE_TIME).await;
    let from = Instant::now();

    let responses = region.send_load("/key/a", key, LOAD_TIME).await;

    let (most, allowed) = region.ledger.busiest_span(limited.as_str(), from);
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    let served = |key: u64| {
        let served = |(at, timed): &&(Option<u64>, TimedResponse)| {
            *at == Some(key) && timed.response.status == 200
        };
        responses.iter().filter(served).count() as f64
    };
    let sent = |key: u64| responses.iter().filter(|(at, _)| *at == Some(key)).count() as f64;
    assert!(
        served(0) >= LIMIT * LOAD_TIME.as_secs_f64() * 0.5,
        "{} served",
        served(0)
    );
    assert_eq!(served(65_535), sent(65_535));
    for (key, timed) in &responses {
        if timed.response.status == 200 {
            continue;
        }
        assert_eq!(
            (*key, timed.response.status),
            (Some(0), 503),
            "{}",
            timed.response.body
        );
        assert!(
            timed.response.head.contains("retry-after: "),
            "{}",
            timed.response.head
        );
        assert!(timed.took < REFUSAL_TIME, "{:?}", timed.took);
    }
}

/// Guards against callers who are refused because a limited owner keeps keys that another server
/// could take.
#[tokio::test]
async fn keys_of_a_limited_owner_move_to_servers_that_can_take_them() {
    let region = start_region("keyed", 2).await;
    region.wait_until_owned().await;
    let limited = region.owner(30_000);
    let key = |number: u64| Some(number * 7_919 % 65_536);
    region.ledger.set_limit(limited.as_str(), Some(LIMIT));
    region.send_load("/key/a", key, NOTICE_TIME).await;

    let responses = region.send_load("/key/a", key, LOAD_TIME).await;

    let served = |(_, timed): &&(Option<u64>, TimedResponse)| timed.response.status == 200;
    let served = responses.iter().filter(served).count() as f64 / responses.len() as f64;
    assert!(served >= 0.95, "{served} of the requests served");
}

/// Guards against hosts that forget limits with a leader that has just started: it learns them from
/// the hosts' reports.
#[tokio::test]
async fn limits_outlive_the_leader_that_listed_them() {
    let state = host_state();
    let server = entry("s-1", "plain", ([127, 0, 0, 1], 9_000).into());
    state.replace_fleet(vec![server.clone()], first_listing_span());
    let limit = SharedLimit {
        server: ServerHash::of(&server.id),
        limit: RequestRate::from_per_second(1.0),
        share: AdmittedShare::from_fraction(0.1),
    };
    state.set_shared_limits(std::slice::from_ref(&limit));

    state.set_shared_limits(&[]);
    let report = state.take_load_report(ReportScope::NewLeader);

    assert_eq!(state.shared_limits(), std::slice::from_ref(&limit));
    let reported: Vec<_> = report
        .limits
        .iter()
        .map(|report| (report.server, report.named))
        .collect();
    assert_eq!(reported, [(limit.server, NamedLimit::Held(limit.limit))]);
}

/// Guards against a request that is tried at every limited server of a large service, which takes a
/// small host's processor and counts the request many times.
#[tokio::test]
async fn request_is_tried_at_few_limited_servers_before_a_free_one() {
    const LIMITED: usize = 40;
    const REQUESTS: usize = 50;
    let ledger = OwnershipLedger::default();
    let free = OwningServer::start("free", &ledger).await;
    let nowhere = ([127, 0, 0, 1], 9).into();
    let mut entries: Vec<_> = (0..LIMITED)
        .map(|number| entry(&format!("s-{number}"), "plain", nowhere))
        .collect();
    let limits: Vec<SharedLimit> = entries
        .iter()
        .map(|entry| SharedLimit {
            server: ServerHash::of(&entry.id),
            limit: RequestRate::from_per_second(0.0),
            share: AdmittedShare::from_fraction(0.0),
        })
        .collect();
    let mut free_entry = entry("free", "plain", free.address);
    // Servers of the host's own zone are preferred.
    free_entry.zone = "zone-b".parse().expect("valid name");
    entries.push(free_entry);
    let host = start_host_with(entries).await;
    host.state.set_shared_limits(&limits);

    let mut served = 0;
    for number in 0..REQUESTS {
        let text = request("POST", "/write/a", &format!("r-{number}"), "", "");
        served += usize::from(call(host.address, &text).await.status == 200);
    }

    let report = host.state.take_load_report(ReportScope::Changes);
    let requests = report.limits.iter().map(|report| report.requests);
    let (tries, admitted) = requests.fold((0, 0), |(tries, admitted), requests| {
        (tries + requests.offered, admitted + requests.admitted)
    });
    // A request that was admitted reached no server, so it was tried again.
    let attempts = REQUESTS + admitted as usize;
    assert!(tries as usize <= attempts * 2, "{tries} tries");
    assert!(served * 10 >= REQUESTS * 9, "{served} served");
}
