//! Simulation tests: no key has two owners under faults of orders, servers, leaders and the
//! store.

#[path = "support/range_simulation.rs"]
mod range_simulation;

use {
    range_simulation::{RangeSimulation, SimFaults},
    rstest::rstest,
    std::time::Duration,
};

const SERVERS: usize = 4;

fn many_faults() -> SimFaults {
    SimFaults {
        late_orders: 0.25,
        lost_orders: 0.1,
        fault_chance: 0.006,
        write_delay: Duration::from_millis(250),
        ..SimFaults::slow_clocks_only()
    }
}

fn started(seed: u64, faults: SimFaults) -> RangeSimulation {
    let mut simulation = RangeSimulation::new(seed, SERVERS, SimFaults::slow_clocks_only());
    simulation.run(Duration::from_secs(3));
    simulation.set_faults(faults);
    simulation
}

/// Guards against a range held by two servers, and against a grant whose token is not higher
/// than those seen by all other servers. Faults: orders carried out late, leaders that do
/// not know of their successor, crashes, restarts under the same id, store outages.
#[rstest]
fn no_key_has_two_owners(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 10..block * 10 + 10 {
        let mut simulation = started(seed, many_faults());

        simulation.run(Duration::from_secs(40));

        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against ranges that remain without an owner after all faults have ended.
#[rstest]
fn keys_are_served_after_faults(#[values(100, 101, 102, 103, 104, 105, 106, 107)] seed: u64) {
    let mut simulation = started(seed, many_faults());
    simulation.run(Duration::from_secs(20));

    simulation.end_faults();
    simulation.set_faults(SimFaults::slow_clocks_only());
    simulation.run(Duration::from_secs(20));

    assert!(
        simulation.all_keys_served(),
        "{} ranges are still moving",
        simulation.moving_ranges()
    );
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against lease, renewal interval and unresponsive timeout together exceeding the 5 s
/// within which a key must be served again after the loss of its owner.
#[rstest]
fn lost_owner_is_replaced_within_5_s(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = started(seed, SimFaults::slow_clocks_only());
    simulation.run(Duration::from_millis(700 + seed * 130));

    simulation.crash_largest_owner();
    simulation.run(Duration::from_secs(5));

    assert!(simulation.all_keys_served());
}

/// Guards against keys losing their owners when all hosts restart at once while the servers
/// keep running.
#[rstest]
fn servers_keep_keys_when_all_leaders_are_lost(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = started(seed, SimFaults::slow_clocks_only());

    simulation.lose_all_leaders();
    simulation.run(Duration::from_secs(6));

    assert!(simulation.all_keys_served());
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Checks the checker: it must find violations when leases last far longer on the servers'
/// clocks than the planner allows for.
#[rstest]
fn checker_finds_violations_with_too_slow_clocks() {
    let mut found = 0;
    for seed in 0..10 {
        let faults = SimFaults {
            slow_clock: 3.0,
            ..many_faults()
        };
        let mut simulation = started(seed, faults);

        simulation.run(Duration::from_secs(40));

        found += simulation.violations.len();
    }

    assert!(found > 0);
}
