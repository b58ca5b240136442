//! Measures what an admission decision costs with 10,000 servers. Run in release mode with
//! `--nocapture` to see the times; other builds only check that the decisions work.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, AdmittedShare, KeyGates, KeyShare, RankGate, RankLimit,
            ReturnPlan, ReturnQuery, ReturnReason, ReturnTarget, ServerGauge,
        },
        ids::{ServerId, ServiceName},
        ownership::{
            KeyRange, MAX_KEY_SHARES, RangeLoad, RangePhase, RangeRecord, ServerInstance,
            ServiceOwners, choose_key_shares,
        },
        routing::RouteRank,
        time::BootTime,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const SERVERS: usize = 10_000;
const ROUNDS: u32 = 20_000;

/// Longest time of one decision of a host in a release build. A host with 0.07 cores serves some ten
/// requests a second, so it leaves almost all of the time for them.
const MAX_DECISION_TIME: Duration = Duration::from_micros(20);

/// Longest time of the leader's division in a release build, if every owner has a hot key. It takes place
/// with each digest, every 250 ms; a busy machine takes several times as long as an idle one.
const MAX_DIVISION_TIME: Duration = Duration::from_millis(50);

fn now() -> BootTime {
    BootTime::from_millis(1_000_000)
}

fn service() -> ServiceName {
    "ledger".parse().expect("a name")
}

fn server_ids() -> Vec<ServerId> {
    let id = |number| format!("s{number}").parse().expect("an id");
    (0..SERVERS).map(id).collect()
}

/// A key for each of the owners, which has twice the capacity of its owner.
fn owners(ids: &[ServerId]) -> ServiceOwners {
    let mut owners = ServiceOwners::new(1);
    let ranges = KeyRange::ALL.divide(SERVERS);
    let record = |(range, id): (KeyRange, &ServerId)| RangeRecord {
        range,
        phase: RangePhase::Owned {
            owner: ServerInstance {
                id: id.clone(),
                incarnation: 1,
                address: "127.0.0.1:9001".parse().expect("an address"),
            },
            token: 1,
        },
    };
    owners.ranges = ranges.into_iter().zip(ids).map(record).collect();
    owners
}

fn assert_in_time(what: &str, mean: Duration, limit: Duration) {
    println!("{what}: {mean:?}");
    if !cfg!(debug_assertions) {
        assert!(mean <= limit, "{what}: {mean:?}");
    }
}

/// Load: hosts with 10,000 servers and the longest list of hot keys. Guards against decisions that take
/// longer with more servers.
#[test]
fn decision_of_a_host_takes_microseconds() {
    let ids = server_ids();
    let gauges: HashMap<ServerId, ServerGauge> = ids
        .iter()
        .map(|id| (id.clone(), ServerGauge::new(2, Duration::ZERO, now())))
        .collect();
    let shares: Vec<KeyShare> = (0..MAX_KEY_SHARES as u16)
        .map(|key| KeyShare {
            service: service(),
            key,
            share: AdmittedShare::from_fraction(0.25),
        })
        .collect();
    let mut key_gates = KeyGates::default();
    key_gates.set_shares(&shares, 0.5, now());
    let mut rank_gate = RankGate::default();
    let mut returns = ReturnPlan::default();
    let rule = AdmissionRule {
        target_latency: Duration::from_millis(1_000),
        time_left: Duration::from_millis(4_000),
        rank_limit: Some(RankLimit {
            rank: RouteRank(2),
            limit: 0.5,
            most_urgent: 0.95,
        }),
        is_hot_key: true,
    };
    let service = service();

    let started = Instant::now();
    let mut sent = 0;
    for round in 0..ROUNDS {
        let id = &ids[round as usize % SERVERS];
        key_gates.admit(&service, (round % 256) as u16, now());
        let reading = gauges[id].read(now());
        sent += u32::from(rank_gate.decide(rule, reading) == Admission::Send);
        let query = ReturnQuery {
            reason: ReturnReason::HotKey,
            reading,
            capacity: 8.0,
            hosts: 500,
            time_left: rule.time_left,
        };
        returns.plan(ReturnTarget::Owner(id.clone()), query, 0.5, now());
    }
    let mean = started.elapsed() / ROUNDS;

    assert_eq!(sent, ROUNDS);
    assert_in_time("decision with a planned return", mean, MAX_DECISION_TIME);
}

/// Load: 10,000 owners, each of which has a hot key. Guards against a leader that is kept busy by the
/// division of their capacity.
#[test]
fn division_by_the_leader_takes_milliseconds() {
    let ids = server_ids();
    let owners = owners(&ids);
    let capacity = ids.iter().map(|id| (id.clone(), 12.0)).collect();
    let mut load = RangeLoad::new(now());
    for record in &owners.ranges {
        load.add(record.range.first, 24);
    }

    let started = Instant::now();
    let shares = choose_key_shares(&service(), &owners, &load, &capacity);
    let elapsed = started.elapsed();

    assert_eq!(shares.len(), MAX_KEY_SHARES);
    assert_in_time("division of 10,000 owners", elapsed, MAX_DIVISION_TIME);
}
