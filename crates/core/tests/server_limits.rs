//! Shares of a server's limit among many hosts, simulated without a network.

use {
    camphorcove_core::{
        dispatch::{AdmittedShare, LimitControl, LimitGate, RequestRate},
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

/// Interval of reports and digests, in milliseconds.
const REPORT_MS: u64 = 250;

/// Time until a limit binds, and length of the spans in which requests are counted.
const NOTICE_MS: u64 = 3_000;
const SPAN_MS: u64 = 4_000;

/// Length of the simulation.
const END_MS: u64 = 20_000;

/// Number of random sequences of requests for each load.
const SEEDS: u64 = 60;

/// Load of a simulation.
#[derive(Clone, Copy)]
struct LoadPlan {
    hosts: usize,
    limit: f64,
    /// Requests a second of all hosts, before and after half of the time.
    demand: [f64; 2],
    /// Whether the hosts lose their leader at half of the time.
    leader_lost: bool,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

/// Times in milliseconds at which requests pass. Hosts report in turn; after each interval the
/// leader computes the share and sends it to all of them.
fn simulate(plan: LoadPlan, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limit = RequestRate::from_per_second(plan.limit);
    let mut gates: Vec<LimitGate> = (0..plan.hosts)
        .map(|_| LimitGate::new(limit, random.random(), at(0)))
        .collect();
    let mut control = LimitControl::new(limit, AdmittedShare::ALL, at(0));
    let mut passed = Vec::new();
    for millis in 0..END_MS {
        let half = usize::from(millis >= END_MS / 2);
        let has_leader = !(plan.leader_lost && half == 1);
        if random.random::<f64>() < plan.demand[half] / 1_000.0 {
            let host = random.random_range(0..plan.hosts);
            if gates[host].admit(plan.hosts as u32, at(millis)) {
                passed.push(millis);
            }
        }
        if !has_leader {
            continue;
        }
        for (number, gate) in gates.iter_mut().enumerate() {
            if millis % REPORT_MS == number as u64 % REPORT_MS {
                control.record_requests(gate.take_requests());
            }
        }
        if millis % REPORT_MS != 0 {
            continue;
        }
        control.update(at(millis));
        for gate in &mut gates {
            gate.set_share(limit, control.share(), at(millis));
        }
    }
    passed
}

fn most_in_a_span(passed: &[u64]) -> usize {
    let bound: Vec<u64> = passed
        .iter()
        .copied()
        .filter(|at| *at >= NOTICE_MS)
        .collect();
    let in_span = |start: &u64| {
        let in_span = |at: &&u64| **at >= *start && **at < *start + SPAN_MS;
        bound.iter().filter(in_span).count()
    };
    bound.iter().map(in_span).max().unwrap_or(0)
}

/// Guards against hosts that together exceed a server's limit, and against a limit that is not used:
/// few hosts with many requests each, many with few each, low limits, a burst, a lost leader.
#[rstest]
#[case::few_hosts(LoadPlan { hosts: 10, limit: 7.0, demand: [14.0; 2], leader_lost: false })]
#[case::many_hosts(LoadPlan { hosts: 74, limit: 4.0, demand: [12.0; 2], leader_lost: false })]
#[case::hundreds_of_hosts(LoadPlan { hosts: 195, limit: 3.0, demand: [8.0; 2], leader_lost: false })]
#[case::target_size(LoadPlan { hosts: 530, limit: 20.0, demand: [60.0; 2], leader_lost: false })]
#[case::low_limit(LoadPlan { hosts: 74, limit: 0.5, demand: [20.0; 2], leader_lost: false })]
#[case::burst(LoadPlan { hosts: 74, limit: 7.0, demand: [14.0, 42.0], leader_lost: false })]
#[case::burst_from_below(LoadPlan { hosts: 74, limit: 7.0, demand: [5.0, 21.0], leader_lost: false })]
#[case::lost_leader(LoadPlan { hosts: 10, limit: 7.0, demand: [14.0; 2], leader_lost: true })]
fn hosts_together_keep_to_the_limit(#[case] plan: LoadPlan) {
    let mut used = 0.0;
    for seed in 0..SEEDS {
        let passed = simulate(plan, seed);
        used += passed.len() as f64 / (END_MS as f64 / 1_000.0) / SEEDS as f64;

        let most = most_in_a_span(&passed) as f64;
        let allowed = plan.limit * 4.0 * 1.5 + 5.0;
        assert!(
            most <= allowed,
            "seed {seed}: {most} in 4 s, {allowed} allowed"
        );
    }
    let usable = plan.demand[0].min(plan.limit);
    assert!(used >= usable * 0.75, "{used} a second used of {usable}");
}

/// Guards against a server that gets no request that could tell that its limit is over.
#[test]
fn server_with_a_limit_of_zero_is_still_asked_now_and_then() {
    let plan = LoadPlan {
        hosts: 10,
        limit: 0.0,
        demand: [20.0; 2],
        leader_lost: false,
    };

    let passed = simulate(plan, 1);

    let late = passed.iter().filter(|at| **at >= NOTICE_MS).count();
    assert!(late > 0);
    assert!(most_in_a_span(&passed) <= 5);
}

/// Guards against callers who are told to come back before the server can take them, or never.
#[rstest]
#[case::nearly_all(0.95, 150, 300)]
#[case::half(0.5, 700, 1_600)]
#[case::few(0.05, 1_500, 3_000)]
fn retry_after_grows_with_the_part_that_is_refused(
    #[case] share: f64,
    #[case] least: u64,
    #[case] most: u64,
) {
    let limit = RequestRate::from_per_second(7.0);
    let mut gate = LimitGate::new(limit, 0.0, at(0));
    gate.set_share(limit, AdmittedShare::from_fraction(share), at(0));
    for spread in [0.0, 0.5, 1.0] {
        let wait = gate.retry_after(spread);

        assert!(wait >= Duration::from_millis(least) * 3 / 4, "{wait:?}");
        assert!(wait <= Duration::from_millis(most), "{wait:?}");
    }
}
