//! Requests of many hosts to a cold server, simulated without a network.

use {
    camphorcove_core::{
        dispatch::{
            AdmittedShare, LimitControl, LimitedRequests, RequestRate, WarmupGate, WarmupLimit,
        },
        routing::{ServiceRule, WarmupRule},
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

/// Interval of reports and digests, in milliseconds.
const REPORT_MS: u64 = 250;

/// Longest time that a report or digest is under way, in milliseconds.
const MAX_DELAY_MS: u64 = 60;

/// Share of the reports and digests that are lost.
const LOSS_SHARE: f64 = 0.15;

/// Time between the last digest of a leader and the first one of its successor, in milliseconds.
const LEADER_GAP_MS: u64 = 2_000;

/// Time for which the server is cold.
const END_MS: u64 = 20_000;

/// When the leader changes and when the demand changes.
const LEADER_CHANGE_MS: u64 = 8_000;
const DEMAND_CHANGE_MS: u64 = 10_000;

const SEEDS: u64 = 40;

const HOSTS: usize = 85;
const RATE: f64 = 2.5;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;

/// How hosts hear the leader.
#[derive(Clone, Copy, PartialEq)]
enum Contact {
    /// All hear it, apart from losses and a change of leader.
    All,
    /// Every fifth host hears no leader.
    SomeCutOff,
    /// No host hears a leader, and none knows the number of hosts.
    NoLeader,
}

/// Load of a simulation.
#[derive(Clone, Copy)]
struct LoadPlan {
    keyed: bool,
    /// Requests a second of all hosts for the cold server, before and after the change.
    demand: [f64; 2],
    contact: Contact,
}

/// A host whose gate is simulated.
struct SimulatedHost {
    gate: WarmupGate,
    hears_leader: bool,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn limit(keyed: bool) -> WarmupLimit {
    let service = ServiceRule {
        name: "uploads".parse().expect("valid name"),
        connections: 10,
        keyed,
        warmup: Some(WarmupRule {
            duration: Duration::from_millis(END_MS),
            rate: RequestRate::from_per_second(RATE),
        }),
    };
    WarmupLimit::of(&service, Some(OVERAGE), Some(SLACK)).expect("all settings are given")
}

/// Times in milliseconds at which requests pass.
fn simulate(plan: LoadPlan, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limit = limit(plan.keyed);
    let known_hosts = match plan.contact {
        Contact::NoLeader => 500,
        Contact::All | Contact::SomeCutOff => HOSTS as u32,
    };
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let hears_leader = match plan.contact {
            Contact::All => true,
            Contact::SomeCutOff => number % 5 != 0,
            Contact::NoLeader => false,
        };
        let gate = WarmupGate::new(limit, random.random(), at(0));
        hosts.push(SimulatedHost { gate, hears_leader });
    }
    let mut control = LimitControl::new(limit.rate(), hosts[0].gate.share(), at(0));
    let mut reports: Vec<(u64, LimitedRequests)> = Vec::new();
    let mut digests: Vec<(u64, usize, AdmittedShare)> = Vec::new();
    let mut passed = Vec::new();
    for millis in 0..END_MS {
        let demand = plan.demand[usize::from(millis >= DEMAND_CHANGE_MS)];
        if random.random::<f64>() < demand / 1_000.0 {
            let host = &mut hosts[random.random_range(0..HOSTS)];
            if host.gate.admit(known_hosts, at(millis)) {
                passed.push(millis);
            }
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            if millis % REPORT_MS != number as u64 % REPORT_MS {
                continue;
            }
            let requests = host.gate.take_requests(at(millis));
            let is_lost = random.random::<f64>() < LOSS_SHARE;
            if host.hears_leader && !is_lost {
                reports.push((millis + random.random_range(1..MAX_DELAY_MS), requests));
            }
        }
        let has_leader = !(LEADER_CHANGE_MS..LEADER_CHANGE_MS + LEADER_GAP_MS).contains(&millis);
        for (_, requests) in reports.extract_if(.., |(arrival, _)| *arrival <= millis) {
            if has_leader {
                control.record_requests(requests);
            }
        }
        if millis == LEADER_CHANGE_MS + LEADER_GAP_MS {
            // The successor starts with the share that its host knows.
            control = LimitControl::new(limit.rate(), hosts[1].gate.share(), at(millis));
        }
        if has_leader && millis % REPORT_MS == 0 {
            control.update(at(millis));
            for (number, host) in hosts.iter().enumerate() {
                if host.hears_leader && random.random::<f64>() >= LOSS_SHARE {
                    let arrival = millis + random.random_range(1..MAX_DELAY_MS);
                    digests.push((arrival, number, control.share()));
                }
            }
        }
        for (_, number, share) in digests.extract_if(.., |(arrival, ..)| *arrival <= millis) {
            hosts[number].gate.set_share(share, at(millis));
        }
    }
    passed
}

/// Most requests that pass within any one second.
fn most_in_a_second(passed: &[u64]) -> usize {
    let from = |start: &u64| {
        let in_second = |at: &&u64| **at >= *start && **at < *start + 1_000;
        passed.iter().filter(in_second).count()
    };
    passed.iter().map(from).max().unwrap_or(0)
}

/// Guards against hosts that together send a cold server more than it bears in a second: more requests
/// than it takes, a burst after few requests, hosts without a leader, and a change of leader.
#[rstest]
#[case::plain_overload(LoadPlan { keyed: false, demand: [50.0, 50.0], contact: Contact::All })]
#[case::plain_burst(LoadPlan { keyed: false, demand: [1.0, 400.0], contact: Contact::All })]
#[case::plain_cut_off(LoadPlan { keyed: false, demand: [50.0, 130.0], contact: Contact::SomeCutOff })]
#[case::plain_no_leader(LoadPlan { keyed: false, demand: [50.0, 400.0], contact: Contact::NoLeader })]
#[case::keyed_placed_load(LoadPlan { keyed: true, demand: [2.5, 2.5], contact: Contact::All })]
#[case::keyed_usual_burst(LoadPlan { keyed: true, demand: [2.5, 6.5], contact: Contact::All })]
#[case::keyed_overload(LoadPlan { keyed: true, demand: [8.0, 8.0], contact: Contact::All })]
#[case::keyed_cut_off(LoadPlan { keyed: true, demand: [2.5, 6.5], contact: Contact::SomeCutOff })]
#[case::keyed_no_leader(LoadPlan { keyed: true, demand: [50.0, 400.0], contact: Contact::NoLeader })]
fn cold_server_never_gets_more_than_its_allowance_in_a_second(#[case] plan: LoadPlan) {
    let allowance = limit(plan.keyed).allowance();
    for seed in 0..SEEDS {
        let passed = simulate(plan, seed);

        let most = most_in_a_second(&passed);
        assert!(
            most as f64 <= allowance,
            "seed {seed}: {most} in a second, {allowance} allowed"
        );
    }
}

/// Guards against a limit that refuses what a cold server can take: keys have no other server.
#[test]
fn cold_owner_gets_most_requests_for_few_keys() {
    let demand = 2.5;
    let plan = LoadPlan {
        keyed: true,
        demand: [demand; 2],
        contact: Contact::All,
    };

    let passed: usize = (0..SEEDS).map(|seed| simulate(plan, seed).len()).sum();

    let per_second = passed as f64 / SEEDS as f64 / (END_MS as f64 / 1_000.0);
    assert!(per_second >= demand * 0.7, "{per_second} a second");
}

/// Guards against a key that becomes hot on a cold server and floods it for longer than hosts take to
/// learn of it. In the first second, one request of each host may pass, which exceeds the allowance:
/// a host with its first request cannot tell that all others have one as well.
#[test]
fn key_that_becomes_hot_on_a_cold_server_is_limited_after_a_second() {
    let plan = LoadPlan {
        keyed: true,
        demand: [2.5, 400.0],
        contact: Contact::All,
    };
    for seed in 0..SEEDS {
        let passed = simulate(plan, seed);

        let split = DEMAND_CHANGE_MS + 1_000;
        let early: Vec<u64> = passed.iter().copied().filter(|at| *at < split).collect();
        let late: Vec<u64> = passed.iter().copied().filter(|at| *at >= split).collect();
        let most = most_in_a_second(&late);
        assert!(
            most as f64 <= limit(true).allowance(),
            "seed {seed}: {most}"
        );
        let most = most_in_a_second(&early);
        assert!(most as f64 <= HOSTS as f64 + SLACK, "seed {seed}: {most}");
    }
}

/// Guards against limits in deployments and services that have not asked for them.
#[rstest]
#[case::no_overage(None, Some(8.0))]
#[case::no_slack(Some(1.5), None)]
fn limit_needs_both_settings(#[case] overage: Option<f64>, #[case] slack: Option<f64>) {
    let rule = WarmupRule {
        duration: Duration::from_secs(20),
        rate: RequestRate::from_per_second(RATE),
    };
    let service = |warmup| ServiceRule {
        name: "uploads".parse().expect("valid name"),
        connections: 10,
        keyed: false,
        warmup,
    };

    let without_setting = WarmupLimit::of(&service(Some(rule)), overage, slack);
    let without_rule = WarmupLimit::of(&service(None), Some(OVERAGE), Some(SLACK));

    assert_eq!(without_setting, None);
    assert_eq!(without_rule, None);
}
