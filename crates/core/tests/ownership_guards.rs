//! The checker notices when a guard of the protocol is removed.
//!
//! Guards are removed in the fakes and in the time that a machine is told, so
//! production code has no switch for them. Each case runs the same faults with
//! the guard, which must be clean, and without it, which must not be.

mod support;

use {
    rstest::rstest,
    support::{
        clock::DRIFT_PPM,
        faults::{Fault, RemovedGuards},
        network::Node,
        spec::scope_spec,
        world::{SECOND, World},
    },
};

const HOSTS: usize = 5;
const SERVERS: usize = 3;
const SEEDS: u64 = 12;

fn settled(seed: u64, checked: bool) -> World {
    let spec = scope_spec(SERVERS, 12, checked);
    let mut world = World::new(seed, HOSTS, spec, RemovedGuards::default());
    let settled = world.run_while(30 * SECOND, World::all_served);
    assert!(settled.is_some(), "seed {seed}: no settled start");
    let start = world.micros + 3 * SECOND;
    world.run_until(start);
    world
}

/// Leaves a server to the old controller, which no other host reaches any more.
fn split(world: &mut World, server: usize) -> usize {
    let old = world.controller().unwrap();
    world.apply_fault(&Fault::CutFromHosts(old));
    world.apply_fault(&Fault::CutFromPlatform(old));
    for host in (0..HOSTS).filter(|host| *host != old) {
        world.apply_fault(&Fault::CutFromServer(host, server));
    }
    old
}

fn run_split(seed: u64, checked: bool, guards: RemovedGuards) -> World {
    let mut world = settled(seed, checked);
    world.guards = guards;
    split(&mut world, 1);
    let end = world.micros + 15 * SECOND;
    world.run_until(end);
    world
}

/// The clocks of the old controller and its server are slow, those of all others fast, or vice versa.
fn run_drift(seed: u64, checked: bool, guards: RemovedGuards) -> World {
    let mut world = settled(seed, checked);
    let old = split(&mut world, 1);
    let drift = DRIFT_PPM * guards.drift_factor.max(1);
    let drift = if seed.is_multiple_of(2) {
        drift
    } else {
        -drift
    };
    for host in 0..HOSTS {
        let ppm = if host == old { -drift } else { drift };
        world.set_drift(Node::Host(host), ppm);
    }
    for server in 0..SERVERS {
        let ppm = if server == 1 { -drift } else { drift };
        world.set_drift(Node::Server(server), ppm);
    }
    let end = world.micros + 15 * SECOND;
    world.run_until(end);
    world
}

/// Restarts all electors but the old controller and the next candidate just before the takeover.
fn run_restarts(seed: u64, checked: bool, guards: RemovedGuards) -> World {
    let mut world = settled(seed, checked);
    world.guards = guards;
    let old = split(&mut world, 1);
    let candidate = next_candidate(&world, old);
    let restart_at = world.micros + SECOND * 14 / 10;
    for host in (0..HOSTS).filter(|host| *host != old && *host != candidate) {
        world.schedule(restart_at, Fault::RestartHost(host));
    }
    let end = world.micros + 15 * SECOND;
    world.run_until(end);
    world
}

fn next_candidate(world: &World, old: usize) -> usize {
    let ids: Vec<_> = (0..HOSTS)
        .filter(|host| *host != old)
        .map(|host| world.hosts[host].info.id.clone())
        .collect();
    let ranked = camphorcove_core::keys::rank_hosts(support::spec::SERVICE, &ids);
    world.host_index(&ranked[0])
}

/// Messages arrive late while a server and a controller pause.
fn run_delays(seed: u64, checked: bool, guards: RemovedGuards) -> World {
    let mut world = settled(seed, checked);
    world.guards = guards;
    let start = world.micros;
    world.apply_fault(&Fault::Slow(25, 6 * SECOND));
    world.schedule(start + SECOND, Fault::PauseServer(1, 8 * SECOND));
    world.schedule(start + 12 * SECOND, Fault::KillController);
    world.schedule(start + 20 * SECOND, Fault::PauseServer(0, 8 * SECOND));
    world.run_until(start + 45 * SECOND);
    world
}

fn without(change: impl Fn(&mut RemovedGuards)) -> RemovedGuards {
    let mut guards = RemovedGuards::default();
    change(&mut guards);
    guards
}

#[rstest]
#[case::elector_wait(run_split, without(|guards| guards.elector_wait = true))]
#[case::grant_grace(run_split, without(|guards| guards.grant_grace = true))]
#[case::abstention(run_restarts, without(|guards| guards.abstention = true))]
#[case::drift(run_drift, without(|guards| guards.drift_factor = 30))]
#[case::deadline(run_delays, without(|guards| guards.deadline = true))]
fn checker_notices_a_removed_guard(
    #[case] run: fn(u64, bool, RemovedGuards) -> World,
    #[case] guards: RemovedGuards,
    #[values(true, false)] checked: bool,
) {
    let mut noticed = Vec::new();
    for seed in 1..=SEEDS {
        let guarded = run(seed, checked, RemovedGuards::default());
        assert!(
            guarded.checker.violations.is_empty(),
            "seed {seed} with all guards: {:#?}",
            guarded.checker.violations
        );
        let unguarded = run(seed, checked, guards);
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
        "no violation in {SEEDS} seeds without {guards:?}"
    );
    println!("{} violations, first: {:?}", noticed.len(), noticed[0]);
}
