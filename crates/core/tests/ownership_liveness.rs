//! Time until shards are served again after faults, in simulated time.

mod support;

use {
    rstest::rstest,
    support::{
        faults::Fault,
        world::{SECOND, World, settled_world},
    },
};

fn assert_clean(world: &World, seed: u64) {
    assert!(
        world.checker.violations.is_empty(),
        "seed {seed}: {:#?}",
        world.checker.violations
    );
}

fn assert_served_within_5_s(fault: &Fault, checked: bool, seed: u64) {
    let mut world = settled_world(seed, 5, 4, checked);
    let lost_at = world.micros;

    world.apply_fault(fault);
    let served = world.run_while(lost_at + 5 * SECOND, World::all_served);

    assert_clean(&world, seed);
    assert!(
        served.is_some(),
        "seed {seed}: {} served",
        world.served_shards()
    );
}

/// Guards against shards of a lost server that stay without an owner for too long.
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
    let mut world = settled_world(seed, hosts, 4, true);
    let killed_at = world.micros;

    world.apply_fault(&Fault::KillController);
    let lapsed = world.run_while(killed_at + 10 * SECOND, |world| !world.all_served());

    assert_clean(&world, seed);
    assert_eq!(lapsed, None, "seed {seed}: killed at {killed_at}");
    assert!(world.controller().is_some(), "seed {seed}");
}

/// Guards against shards that stay unowned after a long outage with two losses in it.
#[rstest]
fn all_shards_are_owned_after_an_outage_with_losses(
    #[values(true, false)] checked: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let minute = 60 * SECOND;
    let mut world = settled_world(seed, 5, 4, checked);
    let start = world.micros;

    world.apply_fault(&Fault::PlatformDown);
    world.schedule(start + 2 * minute, Fault::KillServer(0));
    world.schedule(start + 4 * minute, Fault::KillController);
    world.schedule(start + 10 * minute, Fault::Heal);
    world.run_until(start + 10 * minute);
    let served = world.run_while(start + 10 * minute + 15 * SECOND, World::all_served);

    assert_clean(&world, seed);
    assert!(
        served.is_some(),
        "seed {seed}: {} served",
        world.served_shards()
    );
}
