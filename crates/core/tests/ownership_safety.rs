//! No shard has two owners and no written assignment is lost, whatever fails.

mod support;

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestCaseError},
    },
    support::{
        faults::{Fault, RemovedGuards},
        spec::scope_spec,
        world::{SECOND, World},
    },
};

const SERVERS: usize = 3;

/// Faults of one run with the second at which they start.
type Plan = Vec<(u64, Fault)>;

/// Hosts, seed and faults of one run.
#[derive(Clone, Debug)]
struct RunCase {
    hosts: usize,
    seed: u64,
    plan: Plan,
}

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

/// Any fault but the operator's confirmation, which is safe only if the old hosts have stopped.
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
        1 => (1..40u32).prop_map(Fault::Loss),
        1 => (1..20u32, 100_000..6_000_000u64).prop_map(|(share, delay)| Fault::Slow(share, delay)),
        2 => Just(Fault::Heal),
    ]
}

fn any_plan(hosts: usize) -> impl Strategy<Value = Plan> {
    prop::collection::vec((4_000..30_000u64, any_fault(hosts)), 1..8).prop_map(|plan| {
        plan.into_iter()
            .map(|(at, fault)| (at * 1_000, fault))
            .collect()
    })
}

fn run_case(case: &RunCase, checked: bool) -> World {
    let spec = scope_spec(SERVERS, 12, checked);
    let mut world = World::new(case.seed, case.hosts, spec, RemovedGuards::default());
    for (at, fault) in &case.plan {
        world.schedule(*at, fault.clone());
    }
    world.run_until(45 * SECOND);
    world
}

/// Ends all faults and replaces what is dead.
fn repair(world: &mut World) {
    world.apply_fault(&Fault::Heal);
    for host in 0..world.hosts.len() {
        if !world.hosts[host].alive || world.hosts[host].resigned {
            world.apply_fault(&Fault::RestartHost(host));
        }
    }
    for server in 0..SERVERS {
        world.servers[server].draining = false;
        if !world.servers[server].alive {
            world.apply_fault(&Fault::RestartServer(server));
        }
    }
}

fn check_case(case: &RunCase, checked: bool) -> Result<(), TestCaseError> {
    let seed = case.seed;
    let mut world = run_case(case, checked);
    prop_assert!(
        world.checker.violations.is_empty(),
        "seed {seed}: {:#?}, log {:#?}",
        world.checker.violations,
        world.log
    );
    repair(&mut world);
    let repaired_at = world.micros;
    let served = world.run_while(repaired_at + 60 * SECOND, World::all_served);
    prop_assert!(
        world.checker.violations.is_empty(),
        "seed {seed}: {:#?}, log {:#?}",
        world.checker.violations,
        world.log
    );
    prop_assert!(
        served.is_some(),
        "seed {seed}: only {} shards served a minute after all faults ended, log {:#?}",
        world.served_shards(),
        world.log
    );
    Ok(())
}

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

    /// Guards against two owners of a shard where only deadlines fence the old one.
    #[test]
    fn unchecked_servers_never_share_a_shard(case in any_case()) {
        check_case(&case, false)?;
    }
}

/// Guards against requests and renewals that outlive a loss during an outage.
#[test]
fn outage_with_loss_and_freeze_keeps_one_owner() {
    let plan = vec![
        (4_384_000, Fault::FreezeBeforeSend(0, 901_944)),
        (4_000_000, Fault::PlatformDown),
        (4_000_000, Fault::Loss(19)),
    ];

    let case = RunCase {
        hosts: 5,
        seed: 2_352,
        plan,
    };
    check_case(&case, false).unwrap();
}
