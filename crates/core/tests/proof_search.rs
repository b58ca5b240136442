//! Random search for keys with two owners while servers leave, crash, are replaced at their addresses or start
//! again elsewhere, other programs leave entries of any kind in the store, leaders see older copies of
//! the entries, and servers add answers that belong to no order, in any order and at any moment.
//!
//! `ENTRY_SEEDS=0..4000 cargo test -p camphorcove-core --test proof_search -- --nocapture` plays the given seeds;
//! without it, fixed seeds are played.

#[path = "support/range_simulation.rs"]
mod range_simulation;

use {
    range_simulation::{RangeSimulation, ServerEnd, SimFaults},
    rstest::rstest,
    std::{env, ops::Range, time::Duration},
};

/// Servers at the begin.
const SERVERS: usize = 5;

/// Seeds of one block that are played without `ENTRY_SEEDS`.
const BLOCK_SEEDS: u64 = 8;

fn entry_faults() -> SimFaults {
    SimFaults {
        late_orders: 0.05,
        lost_orders: 0.02,
        fault_chance: 0.001,
        write_delay: Duration::from_millis(40),
        entry_chance: 0.006,
        end_chance: 0.004,
        work_chance: 0.5,
        ..SimFaults::slow_clocks_only()
    }
}

/// Answers that belong to no order, and ends of servers.
fn answer_faults() -> SimFaults {
    SimFaults {
        entry_chance: 0.0,
        extra_answers: 0.05,
        ..entry_faults()
    }
}

/// Ends of servers, and nothing else.
fn ends_only() -> SimFaults {
    SimFaults {
        end_chance: 0.003,
        ..SimFaults::slow_clocks_only()
    }
}

fn seeds(block: u64) -> Range<u64> {
    let Ok(text) = env::var("ENTRY_SEEDS") else {
        return block * BLOCK_SEEDS..(block + 1) * BLOCK_SEEDS;
    };
    let (from, to) = text.split_once("..").expect("ENTRY_SEEDS is FROM..TO");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let length = (to - from).div_ceil(BLOCK_SEEDS);
    from + block * length..(from + (block + 1) * length).min(to)
}

/// Guards against an entry that passes for the end of an owner, which is at work on its keys.
#[rstest]
fn no_key_has_two_owners_whatever_the_entries_say(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    assert_eq!(seeds_with_two_owners(block, entry_faults()), []);
}

/// Guards against an answer on a kept connection that passes for the end of an owner, or for the answer to
/// another order.
#[rstest]
fn no_key_has_two_owners_whatever_servers_add_to_answers(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64,
) {
    assert_eq!(seeds_with_two_owners(block, answer_faults()), []);
}

fn seeds_with_two_owners(block: u64, faults: SimFaults) -> Vec<u64> {
    let mut failed = Vec::new();
    for seed in seeds(block) {
        let mut simulation = RangeSimulation::new(seed, SERVERS, faults);

        simulation.run(Duration::from_secs(60));

        if let Some(first) = simulation.violations.first() {
            println!(
                "seed {seed}: {} violations, first {first}",
                simulation.violations.len()
            );
            failed.push(seed);
        }
    }
    failed
}

/// Guards against ends of servers that are noticed only when their leases have ended. Prints the time
/// without an owner, which is to be compared between versions.
#[rstest]
fn keys_are_served_while_servers_end(#[values(0, 1, 2, 3)] block: u64) {
    let (mut unheld, mut failed) = (0.0, Vec::new());
    for seed in seeds(block) {
        let mut simulation = RangeSimulation::new(seed, SERVERS, ends_only());
        simulation.run(Duration::from_secs(60));

        simulation.end_faults();
        simulation.run(Duration::from_secs(5));

        unheld += simulation.unheld_key_seconds;
        if !simulation.all_keys_served() || !simulation.violations.is_empty() {
            failed.push(seed);
        }
    }
    println!("block {block}: {unheld:.0} key seconds without an owner");

    assert_eq!(failed, Vec::<u64>::new());
}

/// Guards against keys that wait for more than 5 s after the end of their owner.
#[rstest]
fn keys_of_an_ended_server_are_served_within_5_s(
    #[values(
        ServerEnd::Replaced,
        ServerEnd::Restarted,
        ServerEnd::RestartedElsewhere
    )]
    end: ServerEnd,
    #[values(200, 1_000, 3_000)] wait_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut simulation = RangeSimulation::new(seed, SERVERS, SimFaults::slow_clocks_only());
    simulation.run(Duration::from_millis(6_000 + seed * 130));

    simulation.end_server(0, end, Duration::from_millis(wait_ms));
    let before = simulation.unheld_key_seconds;
    simulation.run(Duration::from_secs(5));

    let unheld = simulation.unheld_key_seconds - before;
    println!("{end:?} after {wait_ms} ms, seed {seed}: {unheld:.0} key seconds without an owner");
    assert!(simulation.all_keys_served());
    assert_eq!(simulation.violations, Vec::<String>::new());
}
