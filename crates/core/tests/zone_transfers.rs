//! Requests that leave their availability zone, simulated without a network.

#[path = "support/zone_simulation.rs"]
mod zone_simulation;

use zone_simulation::{ChoicePlan, ZonePlan, simulate};

#[test]
fn figures() {
    for (name, plan) in [
        (
            "even",
            ZonePlan {
                demand: [30.0; 3],
                changed: [30.0; 3],
                lost: None,
            },
        ),
        (
            "one",
            ZonePlan {
                demand: [80.0, 25.0, 25.0],
                changed: [80.0, 25.0, 25.0],
                lost: None,
            },
        ),
        (
            "two",
            ZonePlan {
                demand: [70.0, 65.0, 15.0],
                changed: [70.0, 65.0, 15.0],
                lost: None,
            },
        ),
        (
            "all",
            ZonePlan {
                demand: [80.0; 3],
                changed: [80.0; 3],
                lost: None,
            },
        ),
        (
            "burst",
            ZonePlan {
                demand: [30.0; 3],
                changed: [50.0, 20.0, 20.0],
                lost: None,
            },
        ),
        (
            "swap",
            ZonePlan {
                demand: [80.0, 20.0, 20.0],
                changed: [20.0, 80.0, 20.0],
                lost: None,
            },
        ),
        (
            "lost",
            ZonePlan {
                demand: [20.0; 3],
                changed: [20.0; 3],
                lost: Some(0),
            },
        ),
    ] {
        for choice in [ChoicePlan::Factor, ChoicePlan::Transfers] {
            for seed in 0..2 {
                let o = simulate(plan, choice, seed);
                println!(
                    "{name} {choice:?} in_time {:.3} zones {:.3} {:.3} {:.3} refused {:?} crossed {:.3} fallback {} changes {} both {} first {:?} last {:?}",
                    o.in_time_share(),
                    o.zone_in_time_share(0),
                    o.zone_in_time_share(1),
                    o.zone_in_time_share(2),
                    o.refused,
                    o.crossed_share(),
                    o.crossed_by_fallback,
                    o.changes,
                    o.both_ways,
                    o.first_above(0, 10_000, 0.05),
                    o.last_above(0, 30_000, 0.05)
                );
                if seed == 0 && choice == ChoicePlan::Transfers {
                    for (t, s) in o.decisions.iter().step_by(4) {
                        print!("{}:{:.2},{:.2},{:.2} ", t, s[0], s[1], s[2]);
                    }
                    println!();
                }
            }
        }
    }
}
