//! Requests that leave their availability zone, simulated without a network, against the choice of each
//! host by itself in the same load.

#[path = "support/zone_plan.rs"]
mod zone_plan;
#[path = "support/zone_simulation.rs"]
mod zone_simulation;

use {
    rstest::rstest,
    zone_plan::{ChoicePlan, ZONES, ZoneOutcome, ZonePlan},
    zone_simulation::{CHANGE_END_MS, CHANGE_MS, REPORT_MS, simulate},
};

/// Number of random sequences of requests, delays and losses for each load.
const SEEDS: u64 = 8;

/// Time by which decisions may lag behind the load, in milliseconds.
const MAX_LAG_MS: u64 = 2_000;

/// Time until demand and service times are known at the start of a run.
const SETTLED_MS: u64 = 2_000;

/// Outcomes of the same seeds under both choices.
struct Comparison {
    factor: Vec<ZoneOutcome>,
    transfers: Vec<ZoneOutcome>,
}

fn steady(demand: [f64; ZONES]) -> ZonePlan {
    ZonePlan {
        demand,
        changed: demand,
        lost: None,
    }
}

fn mean(outcomes: &[ZoneOutcome], value: impl Fn(&ZoneOutcome) -> f64) -> f64 {
    outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
}

fn compare(name: &str, plan: ZonePlan) -> Comparison {
    let run = |choice| -> Vec<ZoneOutcome> {
        (0..SEEDS)
            .map(|seed| simulate(plan, choice, seed))
            .collect()
    };
    let comparison = Comparison {
        factor: run(ChoicePlan::Factor),
        transfers: run(ChoicePlan::Transfers),
    };
    for (choice, outcomes) in [
        ("factor 2.5", &comparison.factor),
        ("transfers", &comparison.transfers),
    ] {
        let zones = [0, 1, 2].map(|zone| {
            let in_time = mean(outcomes, |outcome| outcome.zone_in_time_share(zone));
            format!("{in_time:.3}")
        });
        println!(
            "{name}, {choice}: in time {:.3} (zones {}), refused {:.4}, crossing {:.3}, of it beside a decision {:.3}",
            mean(outcomes, ZoneOutcome::in_time_share),
            zones.join(" "),
            mean(outcomes, ZoneOutcome::refused_share),
            mean(outcomes, ZoneOutcome::crossed_share),
            mean(outcomes, ZoneOutcome::fallback_share),
        );
    }
    comparison
}

impl Comparison {
    fn in_time(&self) -> (f64, f64) {
        (
            mean(&self.factor, ZoneOutcome::in_time_share),
            mean(&self.transfers, ZoneOutcome::in_time_share),
        )
    }

    /// Checks what holds under every load: no pair of zones sends both ways, and the zones that send change
    /// at most `changes` times in a run.
    fn assert_orderly(&self, changes: u32) {
        for (seed, outcome) in self.transfers.iter().enumerate() {
            assert_eq!(outcome.both_ways, 0, "seed {seed}: a pair sends both ways");
            assert!(
                outcome.changes <= changes,
                "seed {seed}: {} changes of the zones that send",
                outcome.changes
            );
        }
    }
}

/// Load: zones short of servers beside zones with room. Guards against a short zone that keeps its requests, and
/// against zones with room that send.
#[rstest]
#[case::one_zone("one zone short", [80.0, 20.0, 20.0], 1, 0.03)]
#[case::two_zones("two zones short", [65.0, 60.0, 12.0], 2, 0.03)]
fn short_zones_send_their_excess(
    #[case] name: &str,
    #[case] demand: [f64; ZONES],
    #[case] short: usize,
    #[case] gain: f64,
) {
    let comparison = compare(name, steady(demand));

    comparison.assert_orderly(4);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor + gain, "{transfers} against {factor}");
    for zone in short..ZONES {
        let sending = mean(&comparison.transfers, |outcome| outcome.sending_time(zone));
        assert!(
            sending <= 0.02,
            "zone {zone} with room sends for {sending} of the time"
        );
    }
}

/// Load: more than all zones together can serve. Guards against requests that are moved although that only
/// moves the shortage.
#[test]
fn nothing_is_sent_when_all_zones_are_short() {
    let comparison = compare("all zones short", steady([80.0; ZONES]));

    comparison.assert_orderly(4);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor - 0.01, "{transfers} against {factor}");
    for outcome in &comparison.transfers {
        let settled = outcome.decisions.iter().filter(|(at, _)| *at >= SETTLED_MS);
        for (at, shares) in settled {
            assert_eq!(*shares, [0.0; ZONES], "at {at} ms");
        }
    }
    let crossing = |outcomes| mean(outcomes, ZoneOutcome::crossed_share);
    assert!(crossing(&comparison.transfers) <= crossing(&comparison.factor));
}

/// Load: even, three quarters of what a zone serves within the target. Guards against traffic that serves nobody.
#[test]
fn nothing_is_sent_while_each_zone_suffices() {
    let comparison = compare("even load", steady([25.0; ZONES]));

    comparison.assert_orderly(4);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor - 0.01, "{transfers} against {factor}");
    let crossing = mean(&comparison.transfers, ZoneOutcome::crossed_share);
    assert!(crossing <= 0.002, "{crossing} crosses zones");
}

/// Load: one zone gets 2.6 times its requests for ten seconds. Guards against decisions that lag behind the burst, and
/// against requests that still leave when the zone suffices again.
#[test]
fn burst_is_followed_within_two_seconds() {
    let plan = ZonePlan {
        demand: [22.0, 15.0, 15.0],
        changed: [57.0, 15.0, 15.0],
        lost: None,
    };

    let comparison = compare("burst in one zone", plan);

    comparison.assert_orderly(6);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor + 0.02, "{transfers} against {factor}");
    for (seed, outcome) in comparison.transfers.iter().enumerate() {
        let first = outcome.first_above(0, CHANGE_MS, 0.1).expect("sends");
        let last = outcome.first_below(0, CHANGE_END_MS, 0.05).expect("ends");
        println!(
            "seed {seed}: a tenth leaves after {} ms, less than a twentieth {} ms after the end",
            first - CHANGE_MS,
            last - CHANGE_END_MS
        );
        assert!(first <= CHANGE_MS + MAX_LAG_MS, "seed {seed}");
        assert!(last <= CHANGE_END_MS + MAX_LAG_MS, "seed {seed}");
    }
}

/// Load: a zone is short, and then another one instead. Guards against hosts with an old digest that send to a
/// zone which sends to them already.
#[test]
fn reversal_waits_until_no_host_sends_the_other_way() {
    let plan = ZonePlan {
        demand: [70.0, 15.0, 25.0],
        changed: [15.0, 70.0, 25.0],
        lost: None,
    };

    let comparison = compare("short zone changes", plan);

    comparison.assert_orderly(8);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor + 0.02, "{transfers} against {factor}");
}

/// Failure: the servers of a zone stop answering for ten seconds. Guards against requests that are kept for
/// servers which do not answer, and against a zone that gets its requests back too late.
#[test]
fn zone_that_lost_its_servers_sends_its_requests() {
    let plan = ZonePlan {
        demand: [18.0; ZONES],
        changed: [18.0; ZONES],
        lost: Some(0),
    };

    let comparison = compare("servers of a zone lost", plan);

    comparison.assert_orderly(4);
    let (factor, transfers) = comparison.in_time();
    assert!(transfers >= factor + 0.03, "{transfers} against {factor}");
    for (seed, outcome) in comparison.transfers.iter().enumerate() {
        let first = outcome.first_above(0, CHANGE_MS, 0.2).expect("sends");
        let half = outcome.first_above(0, CHANGE_MS, 0.5).expect("sends");
        let last = outcome.first_below(0, CHANGE_END_MS, 0.05).expect("ends");
        println!(
            "seed {seed}: a fifth leaves after {} ms, half after {} ms, less than a twentieth {} ms after the return",
            first - CHANGE_MS,
            half - CHANGE_MS,
            last - CHANGE_END_MS
        );
        assert!(first <= CHANGE_MS + MAX_LAG_MS, "seed {seed}");
        assert!(half <= CHANGE_MS + MAX_LAG_MS + REPORT_MS, "seed {seed}");
        assert!(last <= CHANGE_END_MS + 2 * MAX_LAG_MS, "seed {seed}");
    }
}
