//! Property tests with random faults: no shard has two owners, and no written assignment is lost.

mod support;

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestCaseError},
    },
    support::{
        faults::{DisabledSafeguards, Fault},
        simulation::{SECOND, Simulation},
        spec::scope_spec,
    },
};

const SERVERS: usize = 3;

/// Faults of one run with their start in microseconds.
type Plan = Vec<(u64, Fault)>;

/// Hosts, seed and faults of one run.
#[derive(Clone, Debug)]
struct RunCase {
    hosts: usize,
    seed: u64,
    plan: Plan,
}

/// A run with 3, 5 or 8 hosts, most often 5.
fn any_case() -> impl Strategy<Value = RunCase> {
    let hosts = prop_oneof![2 => Just(5usize), 1 => Just(3usize), 1 => Just(8usize)];
    hosts.prop_flat_map(|hosts| {
        (0..100_000u64, any_plan(hosts)).prop_map(move |(seed, plan)| RunCase { hosts, seed, plan })
    })
}

fn any_host_fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let host = 0..hosts;
    let span = 500_000..8_000_000u64;
    prop_oneof![
        host.clone().prop_map(Fault::KillHost),
        host.clone().prop_map(Fault::RestartHost),
        (host.clone(), span.clone()).prop_map(|(host, span)| Fault::PauseHost(host, span)),
        (host.clone(), span).prop_map(|(host, span)| Fault::FreezeBeforeSend(host, span)),
        (host.clone(), any::<(bool, bool)>()).prop_map(|(host, (inbound, outbound))| {
            Fault::CutHost {
                host,
                inbound,
                outbound: outbound || !inbound,
            }
        }),
        host.clone().prop_map(Fault::CutFromPlatform),
        host.clone().prop_map(Fault::LosePlatformAnswers),
        host.clone().prop_map(Fault::CutFromHosts),
        (host.clone(), 0..SERVERS).prop_map(|(host, server)| Fault::CutFromServer(host, server)),
        host.prop_map(Fault::Resign),
    ]
}

/// Any fault except the operator's confirmation, which is safe only if the lost hosts have stopped.
fn any_fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let server = 0..SERVERS;
    let span = 500_000..8_000_000u64;
    prop_oneof![
        6 => any_host_fault(hosts),
        1 => Just(Fault::KillController),
        1 => server.clone().prop_map(Fault::KillControllerAndServer),
        1 => server.clone().prop_map(Fault::KillServer),
        1 => server.clone().prop_map(Fault::RestartServer),
        2 => (server.clone(), span).prop_map(|(server, span)| Fault::PauseServer(server, span)),
        1 => (server, any::<bool>()).prop_map(|(server, on)| Fault::DrainServer(server, on)),
        1 => (1..4u32).prop_map(Fault::LoseWriteAnswers),
        2 => (1..=SERVERS).prop_map(Fault::ConfigureServers),
        1 => Just(Fault::ShiftLoad),
        1 => Just(Fault::PlatformDown),
        1 => (100_000..4_000_000u64).prop_map(Fault::PlatformSlow),
        1 => (1..40u32).prop_map(Fault::LoseMessages),
        1 => (1..20u32, 100_000..6_000_000u64)
            .prop_map(|(share, delay)| Fault::DelayMessages(share, delay)),
        2 => Just(Fault::Heal),
    ]
}

/// One to seven faults that start 4 to 30 s into the run.
fn any_plan(hosts: usize) -> impl Strategy<Value = Plan> {
    prop::collection::vec((4_000..30_000u64, any_fault(hosts)), 1..8).prop_map(|plan| {
        plan.into_iter()
            .map(|(at, fault)| (at * 1_000, fault))
            .collect()
    })
}

fn run_case(case: &RunCase, checked: bool) -> Simulation {
    let spec = scope_spec(SERVERS, 12, checked);
    let mut simulation =
        Simulation::new(case.seed, case.hosts, spec, DisabledSafeguards::default());
    for (at, fault) in &case.plan {
        simulation.schedule(*at, fault.clone());
    }
    simulation.run_until(45 * SECOND);
    simulation
}

/// Ends all faults and drains, and restarts dead or resigned hosts and dead servers.
fn repair(simulation: &mut Simulation) {
    simulation.apply_fault(&Fault::Heal);
    for host in 0..simulation.hosts.len() {
        if !simulation.hosts[host].alive || simulation.hosts[host].resigned {
            simulation.apply_fault(&Fault::RestartHost(host));
        }
    }
    for server in 0..SERVERS {
        simulation.servers[server].draining = false;
        if !simulation.servers[server].alive {
            simulation.apply_fault(&Fault::RestartServer(server));
        }
    }
}

/// Checks that a run shows no violation, and that all shards are served within a minute of repair.
fn check_case(case: &RunCase, checked: bool) -> Result<(), TestCaseError> {
    let seed = case.seed;
    let mut simulation = run_case(case, checked);
    prop_assert!(
        simulation.checker.violations.is_empty(),
        "seed {seed}: {:#?}, log {:#?}",
        simulation.checker.violations,
        simulation.log
    );
    repair(&mut simulation);
    let repaired_at = simulation.micros;
    let served = simulation.run_until_condition(repaired_at + 60 * SECOND, Simulation::all_served);
    prop_assert!(
        simulation.checker.violations.is_empty(),
        "seed {seed}: {:#?}, log {:#?}",
        simulation.checker.violations,
        simulation.log
    );
    prop_assert!(
        served.is_some(),
        "seed {seed}: only {} shards served a minute after all faults ended, log {:#?}",
        simulation.served_shards(),
        simulation.log
    );
    Ok(())
}

/// Fixed seed; the environment variable `OWNERSHIP_CASES` overrides the number of cases.
fn config(cases: u32, seed: u64) -> Config {
    let cases = std::env::var("OWNERSHIP_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(96, 0x0b5e_55ed))]

    /// Guards against two owners of a shard at servers that check tokens.
    #[test]
    fn checked_servers_never_share_a_shard(case in any_case()) {
        check_case(&case, true)?;
    }

    /// Guards against two owners of a shard at servers that check no tokens, where only deadlines
    /// stop the old owner.
    #[test]
    fn unchecked_servers_never_share_a_shard(case in any_case()) {
        check_case(&case, false)?;
    }
}

/// Guards against requests and renewals that take effect late, after a host paused before sending
/// them during a platform outage with message loss.
#[test]
fn outage_with_loss_and_freeze_keeps_one_owner() {
    let plan = vec![
        (4_384_000, Fault::FreezeBeforeSend(0, 901_944)),
        (4_000_000, Fault::PlatformDown),
        (4_000_000, Fault::LoseMessages(19)),
    ];

    let case = RunCase {
        hosts: 5,
        seed: 2_352,
        plan,
    };
    check_case(&case, false).unwrap();
}
