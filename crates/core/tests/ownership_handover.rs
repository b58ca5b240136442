//! Rules of elections: who controls a scope, and how the role changes hands.

mod support;

use {
    camphorcove_core::{
        control::ScopeRole,
        scope::ShardState,
        time::{OUTAGE_LIMIT, with_drift},
    },
    rstest::rstest,
    std::collections::BTreeMap,
    support::{
        faults::{Fault, RemovedGuards},
        scenario::*,
        spec::scope_spec,
        world::{SECOND, World, settled_world},
    },
};

const HOUR: u64 = 3_600 * SECOND;

/// Guards against a candidate that takes a lost answer for a failed write.
#[test]
fn takeover_whose_answer_is_lost_is_recognised() {
    let mut world = World::new(3, 3, scope_spec(3, 12, true), RemovedGuards::default());
    world.apply_fault(&Fault::LoseWriteAnswers(1));
    await_that(&mut world, 10, "first write", |world| {
        world.object.is_some()
    });
    let first = state(&world).clone();

    await_that(&mut world, 20, "takeover", World::all_served);

    // The same term goes on, so the first write was neither lost nor repeated.
    assert_eq!(state(&world).epoch, first.epoch);
    assert_eq!(state(&world).controller, first.controller);
}

/// Guards against a move that is planned twice because the first answer was lost.
#[rstest]
fn write_whose_answer_is_lost_is_settled_by_reading(#[values(true, false)] checked: bool) {
    let mut world = settled_world(4, 5, 3, checked);
    let controller = world.controller().unwrap();

    world.apply_fault(&Fault::LosePlatformAnswers(controller));
    world.apply_fault(&Fault::KillServer(0));
    run_for(&mut world, 8 * SECOND);
    world.apply_fault(&Fault::Heal);
    await_that(&mut world, 10, "reassignment", World::all_served);

    assert_eq!(shards_of(&world, 0), []);
    assert_eq!(world.controller(), Some(controller));
}

/// Guards against a controller that stops when an elector dies, and against dead electors that stay.
#[test]
fn lost_electors_are_replaced() {
    let mut world = settled_world(5, 7, 3, true);
    let controller = world.controller().unwrap();
    let elector = state(&world)
        .electors
        .iter()
        .map(|id| world.host_index(id))
        .find(|host| *host != controller)
        .unwrap();

    world.apply_fault(&Fault::KillHost(elector));
    let dead = world.hosts[elector].info.id.clone();
    await_that(&mut world, 10, "replacement", |world| {
        !state(world).electors.contains(&dead)
    });

    assert_eq!(state(&world).electors.len(), 5);
    assert_eq!(world.controller(), Some(controller));
}

/// Guards against a change of electors that costs the controller its authority.
#[rstest]
#[case::new_electors_answer(false)]
#[case::new_electors_cannot_be_asked(true)]
fn change_of_electors_keeps_the_authority(#[case] unreachable: bool) {
    let mut world = World::new(33, 3, scope_spec(2, 12, true), RemovedGuards::default());
    for host in 1..3 {
        world.apply_fault(&Fault::KillHost(host));
    }
    await_that(&mut world, 20, "start", World::all_served);
    assert_eq!(state(&world).electors.len(), 1);

    for host in 1..3 {
        world.apply_fault(&Fault::RestartHost(host));
        if unreachable {
            world.apply_fault(&Fault::CutHost {
                host,
                inbound: true,
                outbound: false,
            });
        }
    }
    run_for(&mut world, 10 * SECOND);

    assert_clean(&world);
    let machine = &world.hosts[0].machine;
    assert_eq!(machine.counters().authority_lapses, 0);
    assert_eq!(machine.role(), ScopeRole::Controller);
    let electors = if unreachable { 1 } else { 3 };
    assert_eq!(state(&world).electors.len(), electors);
}

/// Guards against electors of one availability zone.
#[test]
fn electors_are_spread_over_zones() {
    let world = settled_world(6, 9, 3, true);
    let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
    for elector in &state(&world).electors {
        *zones.entry(world.host_index(elector) % 3).or_default() += 1;
    }

    assert_eq!(zones.len(), 3, "{zones:?}");
    assert!(zones.values().all(|count| *count <= 2), "{zones:?}");
}

/// Guards against a move that stays half done when its controller is lost.
#[rstest]
fn successor_resumes_moves(#[values(true, false)] checked: bool, #[values(14, 15, 16)] seed: u64) {
    let mut world = settled_world(seed, 5, 3, checked);
    world.apply_fault(&Fault::DrainServer(0, true));
    let end = world.micros + 10 * SECOND;
    world.run_while(end, |world| {
        let shards = &state(world).shards;
        shards
            .iter()
            .any(|shard| matches!(shard, ShardState::Releasing { .. }))
    });

    world.apply_fault(&Fault::KillController);

    await_that(&mut world, 60, "drain", |world| {
        shards_of(world, 0).is_empty() && world.all_served()
    });
}

/// Guards against a handover that waits for promises to lapse, or in which grants lapse.
#[rstest]
fn resignation_hands_over_at_once(#[values(17, 18, 19, 20)] seed: u64) {
    let mut world = settled_world(seed, 5, 3, true);
    let old = world.controller().unwrap();
    let resigned_at = world.micros;

    world.apply_fault(&Fault::Resign(old));
    let next = await_that(&mut world, 5, "handover", |world| {
        world
            .controller()
            .is_some_and(|controller| controller != old)
    });
    let lapsed = world.run_while(resigned_at + 10 * SECOND, |world| !world.all_served());

    assert_clean(&world);
    // A promise lapses after 2 s at the earliest 1.5 s after a renewal; half a second cannot be that.
    assert!(
        next - resigned_at < SECOND / 2,
        "took {} us",
        next - resigned_at
    );
    assert_eq!(lapsed, None);
    assert_eq!(world.hosts[old].machine.role(), ScopeRole::Idle);
}

/// Guards against a planned restart during an outage that costs all servers their grants.
#[test]
fn resignation_waits_for_the_platform() {
    let mut world = settled_world(34, 5, 3, true);
    let old = world.controller().unwrap();
    world.apply_fault(&Fault::PlatformDown);
    run_for(&mut world, 2 * SECOND);

    world.apply_fault(&Fault::Resign(old));
    let end = world.micros + 30 * SECOND;
    let lapsed = world.run_while(end, |world| !world.all_served());
    assert_eq!(lapsed, None);

    world.apply_fault(&Fault::Heal);
    await_that(&mut world, 5, "handover", |world| {
        world
            .controller()
            .is_some_and(|controller| controller != old)
    });
    assert!(world.all_served());
}

/// Guards against a host that takes the role again while it shuts down.
#[test]
fn resigned_host_is_no_candidate() {
    let mut world = settled_world(21, 3, 3, true);
    let old = world.controller().unwrap();
    world.apply_fault(&Fault::Resign(old));
    run_for(&mut world, 5 * SECOND);

    world.apply_fault(&Fault::KillController);
    run_for(&mut world, 20 * SECOND);

    assert_clean(&world);
    assert_eq!(world.hosts[old].machine.role(), ScopeRole::Idle);
    assert!(world.controller().is_some());
}

/// Loses the controller and all electors but one; returns the dead hosts.
fn lose_majority(world: &mut World) -> Vec<usize> {
    let controller = world.controller().unwrap();
    let mut dead = vec![controller];
    for id in state(world).electors.clone().iter().skip(1) {
        let host = world.host_index(id);
        if !dead.contains(&host) && dead.len() < 4 {
            dead.push(host);
        }
    }
    for host in &dead {
        world.apply_fault(&Fault::KillHost(*host));
    }
    dead
}

/// Guards against moves without a majority, and against reachable servers that lose their shards.
#[test]
fn successor_without_majority_adopts_reachable_servers_and_moves_nothing() {
    let mut world = settled_world(22, 8, 3, true);
    lose_majority(&mut world);
    world.apply_fault(&Fault::KillServer(0));
    let before = state(&world).shards.clone();
    let lost = shards_of(&world, 0).len();

    run_for(&mut world, 60 * SECOND);

    assert_clean(&world);
    assert_eq!(world.controller(), None);
    assert_eq!(state(&world).shards, before);
    assert_eq!(world.served_shards(), before.len() - lost);
}

/// Guards against adoption of servers that no fence protects.
#[test]
fn unchecked_servers_are_not_adopted() {
    let mut world = settled_world(23, 8, 3, false);
    lose_majority(&mut world);

    run_for(&mut world, 60 * SECOND);

    assert_clean(&world);
    assert_eq!(world.served_shards(), 0);
}

/// Guards against a planned stop of all old hosts after which nobody may assign shards.
#[rstest]
fn resignation_frees_a_successor_from_lost_electors(#[values(true, false)] checked: bool) {
    let mut world = settled_world(41, 8, 3, checked);
    let old = world.controller().unwrap();
    for id in state(&world).electors.clone() {
        let host = world.host_index(&id);
        if host != old {
            world.apply_fault(&Fault::KillHost(host));
        }
    }

    world.apply_fault(&Fault::Resign(old));
    await_that(&mut world, 30, "new electors", |world| {
        world.controller().is_some_and(|host| host != old) && world.all_served()
    });

    assert_clean(&world);
    let electors = state(&world).electors.clone();
    assert!(
        electors
            .iter()
            .all(|id| world.hosts[world.host_index(id)].alive)
    );
}

/// Guards against a confirmation that is ignored.
#[rstest]
fn operator_confirmation_ends_the_wait_for_lost_electors(#[values(true, false)] checked: bool) {
    let mut world = settled_world(24, 8, 3, checked);
    lose_majority(&mut world);
    world.apply_fault(&Fault::KillServer(0));
    run_for(&mut world, 20 * SECOND);

    world.apply_fault(&Fault::ConfirmLost);
    await_that(&mut world, 20, "reassignment", World::all_served);

    assert!(world.controller().is_some());
    let confirmed = |world: &World| {
        let records = state(world).records.iter();
        records
            .into_iter()
            .any(|record| record.reason.contains("operator confirmed"))
    };
    assert!(confirmed(&world));
}

/// Guards against a scope that never recovers, or that recovers before old controllers have stopped.
#[test]
fn outage_limit_ends_the_wait_for_lost_electors() {
    let mut world = settled_world(25, 8, 3, true);
    world.requests = false;
    lose_majority(&mut world);
    world.apply_fault(&Fault::KillServer(0));
    let lost_at = world.micros;

    let served = await_that(&mut world, 3_700, "reassignment", World::all_served);

    assert!(served - lost_at > HOUR, "after {} us", served - lost_at);
}

/// Guards against a controller that outlives its contact with the platform by more than the limit.
#[test]
fn controller_without_platform_contact_stops() {
    let mut world = settled_world(26, 3, 2, true);
    world.requests = false;
    let controller = world.controller().unwrap();
    world.apply_fault(&Fault::PlatformDown);
    let cut_at = world.micros;
    let limit = OUTAGE_LIMIT.as_micros() as u64;

    world.run_until(cut_at + limit * 9 / 10);
    assert_eq!(world.controller(), Some(controller));
    world.run_until(cut_at + with_drift(OUTAGE_LIMIT).as_micros() as u64);

    assert_clean(&world);
    assert_eq!(world.controller(), None);
}

/// Guards against forwarders that change hands when the controller does.
#[test]
fn successor_keeps_the_forwarders() {
    let mut world = settled_world(29, 6, 6, true);
    let before = forwarders(&world);
    let controller = world.controller().unwrap();
    world.apply_fault(&Fault::KillController);

    await_that(&mut world, 5, "takeover", |world| {
        world.controller().is_some()
    });
    run_for(&mut world, SECOND / 2);

    let after = forwarders(&world);
    let moved: Vec<_> = before
        .iter()
        .filter(|(server, host)| after[*server] != **host)
        .collect();
    assert!(
        moved.iter().all(|(_, host)| **host == controller),
        "{moved:?}"
    );
}

/// Guards against servers that wait for a dead forwarder twice: until the host counts as lost, and
/// again until its map has lapsed.
#[rstest]
fn forwarders_of_a_killed_controller_are_replaced_within_5_s(
    #[values(51, 52, 53, 54)] seed: u64,
    #[values(true, false)] checked: bool,
) {
    let mut world = settled_world(seed, 5, 6, checked);
    let old = world.controller().unwrap();
    assert!(forwarders(&world).values().any(|host| *host == old));
    let killed_at = world.micros;

    world.apply_fault(&Fault::KillController);
    let replaced_at = await_that(&mut world, 20, "new forwarders", |world| {
        world
            .controller()
            .is_some_and(|host| host != old && !forwarders(world).values().any(|h| *h == old))
    });

    let took = replaced_at - killed_at;
    assert!(took < 5 * SECOND, "took {took} us");
}
