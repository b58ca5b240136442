//! Mutation tests of the simulation: its checker must notice a disabled safeguard of the protocol.
//!
//! Safeguards are disabled in the simulated nodes and clocks, so production code
//! needs no switches for them. Each case injects the same faults twice: with all
//! safeguards, where no violation may occur, and with one disabled, where at
//! least one seed must show a violation.

mod support;

use {
    rstest::rstest,
    support::{
        clock::DRIFT_PPM,
        faults::{DisabledSafeguards, Fault},
        network::Node,
        simulation::{SECOND, Simulation},
        spec::scope_spec,
    },
};

const HOSTS: usize = 5;
const SERVERS: usize = 3;
const SEEDS: u64 = 12;

/// Simulation that runs until all shards are served and 3 s longer.
fn settled(seed: u64, checked: bool) -> Simulation {
    let spec = scope_spec(SERVERS, 12, checked);
    let mut simulation = Simulation::new(seed, HOSTS, spec, DisabledSafeguards::default());
    let settled = simulation.run_until_condition(30 * SECOND, Simulation::all_served);
    assert!(
        settled.is_some(),
        "seed {seed}: shards not all served within 30 s"
    );
    let start = simulation.micros + 3 * SECOND;
    simulation.run_until(start);
    simulation
}

/// Cuts the controller off from the platform and the other hosts, and the other hosts off from
/// one server, so that only the old controller can still reach that server.
///
/// Returns the old controller.
fn isolate_controller(simulation: &mut Simulation, server: usize) -> usize {
    let old = simulation.controller().unwrap();
    simulation.apply_fault(&Fault::CutFromHosts(old));
    simulation.apply_fault(&Fault::CutFromPlatform(old));
    for host in (0..HOSTS).filter(|host| *host != old) {
        simulation.apply_fault(&Fault::CutFromServer(host, server));
    }
    old
}

/// The other hosts elect a successor while the old controller still reaches one server.
fn run_isolation(seed: u64, checked: bool, disabled: DisabledSafeguards) -> Simulation {
    let mut simulation = settled(seed, checked);
    simulation.disabled = disabled;
    isolate_controller(&mut simulation, 1);
    let end = simulation.micros + 15 * SECOND;
    simulation.run_until(end);
    simulation
}

/// As `run_isolation`, with clocks of the old controller and its server that are slow and those of
/// all others fast, or the reverse for odd seeds.
fn run_drift(seed: u64, checked: bool, disabled: DisabledSafeguards) -> Simulation {
    let mut simulation = settled(seed, checked);
    let old = isolate_controller(&mut simulation, 1);
    let drift = DRIFT_PPM * disabled.drift_factor.max(1);
    let drift = if seed.is_multiple_of(2) {
        drift
    } else {
        -drift
    };
    for host in 0..HOSTS {
        let ppm = if host == old { -drift } else { drift };
        simulation.set_drift(Node::Host(host), ppm);
    }
    for server in 0..SERVERS {
        let ppm = if server == 1 { -drift } else { drift };
        simulation.set_drift(Node::Server(server), ppm);
    }
    let end = simulation.micros + 15 * SECOND;
    simulation.run_until(end);
    simulation
}

/// As `run_isolation`, and all hosts but the old controller and its likely successor restart 1.4 s
/// later, just before the takeover.
fn run_restarts(seed: u64, checked: bool, disabled: DisabledSafeguards) -> Simulation {
    let mut simulation = settled(seed, checked);
    simulation.disabled = disabled;
    let old = isolate_controller(&mut simulation, 1);
    let candidate = next_candidate(&simulation, old);
    let restart_at = simulation.micros + SECOND * 14 / 10;
    for host in (0..HOSTS).filter(|host| *host != old && *host != candidate) {
        simulation.schedule(restart_at, Fault::RestartHost(host));
    }
    let end = simulation.micros + 15 * SECOND;
    simulation.run_until(end);
    simulation
}

/// Host that ranks first among the remaining ones, and so becomes a candidate first.
fn next_candidate(simulation: &Simulation, old: usize) -> usize {
    let ids: Vec<_> = (0..HOSTS)
        .filter(|host| *host != old)
        .map(|host| simulation.hosts[host].info.id.clone())
        .collect();
    let ranked = camphorcove_core::keys::rank_hosts(support::spec::SERVICE, &ids);
    simulation.host_index(&ranked[0])
}

/// A quarter of the messages is delayed while servers pause in turn and the controller is lost.
fn run_late_messages(seed: u64, checked: bool, disabled: DisabledSafeguards) -> Simulation {
    let mut simulation = settled(seed, checked);
    simulation.disabled = disabled;
    let start = simulation.micros;
    simulation.apply_fault(&Fault::DelayMessages(25, 6 * SECOND));
    simulation.schedule(start + SECOND, Fault::PauseServer(1, 8 * SECOND));
    simulation.schedule(start + 12 * SECOND, Fault::KillController);
    simulation.schedule(start + 20 * SECOND, Fault::PauseServer(0, 8 * SECOND));
    simulation.run_until(start + 45 * SECOND);
    simulation
}

/// All safeguards in force except those that `change` disables.
fn disable(change: impl Fn(&mut DisabledSafeguards)) -> DisabledSafeguards {
    let mut disabled = DisabledSafeguards::default();
    change(&mut disabled);
    disabled
}

#[rstest]
#[case::elector_wait(run_isolation, disable(|disabled| disabled.elector_wait = true))]
#[case::grant_grace(run_isolation, disable(|disabled| disabled.grant_grace = true))]
#[case::abstention(run_restarts, disable(|disabled| disabled.abstention = true))]
#[case::drift(run_drift, disable(|disabled| disabled.drift_factor = 30))]
#[case::deadline(run_late_messages, disable(|disabled| disabled.deadline = true))]
fn checker_notices_a_removed_guard(
    #[case] run: fn(u64, bool, DisabledSafeguards) -> Simulation,
    #[case] disabled: DisabledSafeguards,
    #[values(true, false)] checked: bool,
) {
    let mut noticed = Vec::new();
    for seed in 1..=SEEDS {
        let guarded = run(seed, checked, DisabledSafeguards::default());
        assert!(
            guarded.checker.violations.is_empty(),
            "seed {seed} with all safeguards: {:#?}",
            guarded.checker.violations
        );
        let unguarded = run(seed, checked, disabled);
        noticed.extend(
            unguarded
                .checker
                .violations
                .into_iter()
                .map(|text| (seed, text)),
        );
    }
    assert!(
        !noticed.is_empty(),
        "no violation in {SEEDS} seeds with {disabled:?}"
    );
    println!("{} violations, first: {:?}", noticed.len(), noticed[0]);
}
