//! No key has two owners, whatever happens to orders, servers, leaders and the store.

#[path = "support/range_world.rs"]
mod range_world;

use {
    range_world::{RangeWorld, WorldFaults},
    rstest::rstest,
    std::time::Duration,
};

const SERVERS: usize = 4;

fn calm() -> WorldFaults {
    WorldFaults {
        late_orders: 0.0,
        lost_orders: 0.0,
        fault_chance: 0.0,
        slow_clock: 1.02,
        write_delay: Duration::from_millis(5),
    }
}

fn stormy() -> WorldFaults {
    WorldFaults {
        late_orders: 0.25,
        lost_orders: 0.1,
        fault_chance: 0.006,
        slow_clock: 1.02,
        write_delay: Duration::from_millis(250),
    }
}

fn started(seed: u64, faults: WorldFaults) -> RangeWorld {
    let mut world = RangeWorld::new(seed, SERVERS, calm());
    world.run(Duration::from_secs(3));
    world.set_faults(faults);
    world
}

/// Guards against a range that two servers hold, and against a token that is not above
/// the tokens of all other servers: orders carried out late, leaders that do not know
/// of their successor, crashes, restarts under the same id, outages of the store.
#[rstest]
fn no_key_has_two_owners(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 10..block * 10 + 10 {
        let mut world = started(seed, stormy());

        world.run(Duration::from_secs(40));

        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a range that stays without an owner after the faults have ended.
#[rstest]
fn keys_are_served_after_faults(#[values(100, 101, 102, 103, 104, 105, 106, 107)] seed: u64) {
    let mut world = started(seed, stormy());
    world.run(Duration::from_secs(20));

    world.heal();
    world.set_faults(calm());
    world.run(Duration::from_secs(20));

    assert!(world.all_served(), "{} ranges in motion", world.moving());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against leases, renewals or the wait for silence growing beyond the 5 s within
/// which a key has to be served again after the loss of its owner.
#[rstest]
fn lost_owner_is_replaced_within_5_s(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut world = started(seed, calm());
    world.run(Duration::from_millis(700 + seed * 130));

    world.crash_an_owner();
    world.run(Duration::from_secs(5));

    assert!(world.all_served());
}

/// Guards against a loss of keys when all hosts restart at once while servers live on.
#[rstest]
fn servers_keep_keys_when_all_leaders_are_lost(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = started(seed, calm());

    world.lose_all_leaders();
    world.run(Duration::from_secs(6));

    assert!(world.all_served());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Shows that the checker finds a broken promise: leases that last far longer on the
/// servers' clocks than the plan allows for.
#[rstest]
fn checker_finds_clocks_beyond_the_bound() {
    let mut found = 0;
    for seed in 0..10 {
        let faults = WorldFaults {
            slow_clock: 3.0,
            ..stormy()
        };
        let mut world = started(seed, faults);

        world.run(Duration::from_secs(40));

        found += world.violations.len();
    }

    assert!(found > 0);
}
