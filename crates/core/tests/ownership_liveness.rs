//! Recovery times: how soon all shards are served again after a fault, in simulated time.

mod support;

use {
    rstest::rstest,
    support::{
        faults::Fault,
        simulation::{SECOND, Simulation, settled_simulation},
    },
};

fn assert_no_violations(simulation: &Simulation, seed: u64) {
    assert!(
        simulation.checker.violations.is_empty(),
        "seed {seed}: {:#?}",
        simulation.checker.violations
    );
}

fn assert_served_within_5_s(fault: &Fault, checked: bool, seed: u64) {
    let mut simulation = settled_simulation(seed, 5, 4, checked);
    let lost_at = simulation.micros;

    simulation.apply_fault(fault);
    let served = simulation.run_until_condition(lost_at + 5 * SECOND, Simulation::all_served);

    assert_no_violations(&simulation, seed);
    assert!(
        served.is_some(),
        "seed {seed}: {} served",
        simulation.served_shards()
    );
}

/// Guards against shards that stay unserved for more than 5 s after their server was lost.
#[rstest]
fn shards_of_a_lost_server_are_granted_elsewhere_within_5_s(
    #[values(true, false)] checked: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    assert_served_within_5_s(&Fault::KillServer(1), checked, seed);
}

/// Guards against a takeover that delays the replacement of a lost server.
#[rstest]
fn shards_survive_the_loss_of_controller_and_server_within_5_s(
    #[values(true, false)] checked: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    assert_served_within_5_s(&Fault::KillControllerAndServer(2), checked, seed);
}

/// Guards against a takeover during which servers lose their grants.
#[rstest]
fn no_grant_lapses_when_the_controller_is_killed(
    #[values(3, 5, 10)] hosts: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut simulation = settled_simulation(seed, hosts, 4, true);
    let killed_at = simulation.micros;

    simulation.apply_fault(&Fault::KillController);
    let lapsed = simulation.run_until_condition(killed_at + 10 * SECOND, |simulation| {
        !simulation.all_served()
    });

    assert_no_violations(&simulation, seed);
    assert_eq!(lapsed, None, "seed {seed}: killed at {killed_at}");
    assert!(simulation.controller().is_some(), "seed {seed}");
}

/// Guards against shards that stay unowned after a platform outage during which a server and the
/// controller were lost.
#[rstest]
fn all_shards_are_owned_after_an_outage_with_losses(
    #[values(true, false)] checked: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let minute = 60 * SECOND;
    let mut simulation = settled_simulation(seed, 5, 4, checked);
    let start = simulation.micros;

    simulation.apply_fault(&Fault::PlatformDown);
    simulation.schedule(start + 2 * minute, Fault::KillServer(0));
    simulation.schedule(start + 4 * minute, Fault::KillController);
    simulation.schedule(start + 10 * minute, Fault::Heal);
    simulation.run_until(start + 10 * minute);
    let served =
        simulation.run_until_condition(start + 10 * minute + 15 * SECOND, Simulation::all_served);

    assert_no_violations(&simulation, seed);
    assert!(
        served.is_some(),
        "seed {seed}: {} served",
        simulation.served_shards()
    );
}
