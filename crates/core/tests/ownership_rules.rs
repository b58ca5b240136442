//! Rules of the scope machine, one fault or order at a time.

mod support;

use {
    camphorcove_core::{
        control::{ScopeEvent, ScopeRole},
        ids::{ConfigVersion, ServerId, ShardId},
        map::{RoutingMap, ServerPhase},
        scope::{MoveReason, ScopeState, ShardState},
        time::{BootTime, MAP_TTL, OUTAGE_LIMIT, with_drift},
    },
    rstest::rstest,
    std::collections::BTreeMap,
    support::{
        faults::{Fault, RemovedGuards},
        spec::{scope_spec, server_config, server_id},
        world::{SECOND, World, settled_world},
    },
};

const HOUR: u64 = 3_600 * SECOND;

fn state(world: &World) -> &ScopeState {
    &world.object.as_ref().unwrap().1
}

fn assert_clean(world: &World) {
    let violations = &world.checker.violations;
    assert!(
        violations.is_empty(),
        "{violations:#?}, log {:#?}",
        world.log
    );
}

fn shards_of(world: &World, server: usize) -> Vec<ShardId> {
    let id = server_id(server);
    let shards = state(world).shards.iter().enumerate();
    shards
        .filter(|(_, shard)| matches!(shard, ShardState::Owned { server, .. } if *server == id))
        .map(|(index, _)| ShardId(index as u32))
        .collect()
}

fn moves(world: &World) -> BTreeMap<String, u64> {
    let mut moves = BTreeMap::new();
    for host in &world.hosts {
        for (reason, count) in &host.machine.counters().moves {
            *moves.entry(format!("{reason:?}")).or_default() += count;
        }
    }
    moves
}

fn controller_map(world: &World) -> RoutingMap {
    let controller = world.controller().unwrap();
    let (map, _) = world.hosts[controller].held.clone().unwrap();
    RoutingMap::clone(&map)
}

fn run_for(world: &mut World, span: u64) {
    let end = world.micros + span;
    world.run_until(end);
}

fn await_that(world: &mut World, seconds: u64, what: &str, done: impl Fn(&World) -> bool) -> u64 {
    let end = world.micros + seconds * SECOND;
    let at = world.run_while(end, done);
    assert_clean(world);
    at.unwrap_or_else(|| panic!("{what} did not happen, log {:#?}", world.log))
}

/// Guards against writes and renewals of the scope object when nothing changes.
#[test]
fn steady_state_writes_nothing() {
    let mut world = settled_world(1, 5, 3, true);
    let writes = world.checker.writes;

    run_for(&mut world, 60 * SECOND);

    assert_clean(&world);
    assert_eq!(world.checker.writes, writes);
    assert!(world.all_served());
}

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

/// Guards against a restarted server that stays without its shards.
#[rstest]
fn restarted_server_gets_its_shards_back(#[values(true, false)] checked: bool) {
    let mut world = settled_world(7, 5, 3, checked);
    let before = shards_of(&world, 1);

    world.apply_fault(&Fault::RestartServer(1));
    await_that(&mut world, 2, "new grant", World::all_served);

    assert_eq!(shards_of(&world, 1), before);
}

/// Guards against a short pause of a server that costs it its shards.
#[test]
fn short_pause_moves_nothing() {
    let mut world = settled_world(8, 5, 3, true);
    let before = state(&world).shards.clone();

    world.apply_fault(&Fault::PauseServer(1, SECOND));
    run_for(&mut world, 10 * SECOND);

    assert_clean(&world);
    assert_eq!(state(&world).shards, before);
}

/// Guards against drains that lose shards, move others, or leave the server unusable afterwards.
#[rstest]
fn drained_server_gives_up_its_shards_and_only_those(#[values(true, false)] checked: bool) {
    let mut world = settled_world(9, 5, 3, checked);
    let before = shards_of(&world, 0).len() as u64;
    let kept: Vec<ShardId> = shards_of(&world, 2);
    let mut spec = world.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.drained = vec![server_id(0)];

    world.set_spec(spec);
    await_that(&mut world, 60, "drain", |world| {
        shards_of(world, 0).is_empty() && world.all_served()
    });

    assert_eq!(moves(&world).get("Drain"), Some(&before));
    assert!(
        kept.iter()
            .all(|shard| shards_of(&world, 2).contains(shard))
    );
    let map = controller_map(&world);
    assert_eq!(
        map.server(&server_id(0)).unwrap().phase,
        ServerPhase::Draining
    );
}

/// Guards against a server that left the configuration but keeps its shards.
#[test]
fn removed_server_gives_up_its_shards() {
    let mut world = settled_world(10, 5, 4, true);
    let mut spec = world.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.service.servers.remove(3);

    world.set_spec(spec);
    await_that(&mut world, 30, "leave", |world| {
        shards_of(world, 3).is_empty() && world.all_served()
    });

    assert!(controller_map(&world).server(&server_id(3)).is_none());
}

/// Guards against a new server without shards, and against moves between old servers.
#[test]
fn joining_server_takes_its_share() {
    let mut spec = scope_spec(4, 24, true);
    spec.service.servers.truncate(3);
    let mut world = World::new(11, 5, scope_spec(4, 24, true), RemovedGuards::default());
    world.set_spec(spec.clone());
    await_that(&mut world, 20, "start", World::all_served);
    spec.version = ConfigVersion(2);
    spec.service.servers.push(server_config(3));

    world.set_spec(spec);
    await_that(&mut world, 30, "join", |world| {
        shards_of(world, 3).len() == 6 && world.all_served()
    });

    assert_eq!(moves(&world).get("Join"), Some(&6));
    assert_eq!(moves(&world).len(), 2, "{:?}", moves(&world));
}

/// Guards against more moves in flight than `max_moves`.
#[test]
fn moves_are_paced() {
    let mut world = settled_world(12, 5, 3, false);
    let limit = world.spec.service.max_moves as usize;
    world.apply_fault(&Fault::DrainServer(0, true));

    let mut most = 0;
    for _ in 0..3_000 {
        run_for(&mut world, 10_000);
        let releasing = state(&world)
            .shards
            .iter()
            .filter(|shard| matches!(shard, ShardState::Releasing { .. }))
            .count();
        most = most.max(releasing);
    }

    assert_clean(&world);
    assert_eq!(most, limit);
    assert_eq!(shards_of(&world, 0), []);
}

/// Guards against a pin that is ignored or wanders back.
#[test]
fn pinned_shard_moves_and_stays() {
    let mut world = settled_world(13, 5, 3, true);
    let shard = shards_of(&world, 0)[0];
    let mut spec = world.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.pins = vec![(shard, server_id(2))];

    world.set_spec(spec);
    run_for(&mut world, 30 * SECOND);

    assert_clean(&world);
    assert!(shards_of(&world, 2).contains(&shard));
    assert_eq!(moves(&world).get("Pin"), Some(&1));
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

/// Guards against services without keys that get no forwarders or notice no loss.
#[test]
fn unkeyed_service_gets_renewals_forwarders_and_maps() {
    let mut world = World::new(27, 5, scope_spec(4, 0, true), RemovedGuards::default());
    await_that(&mut world, 10, "controller", |world| {
        world.controller().is_some()
    });
    run_for(&mut world, 3 * SECOND);
    let map = controller_map(&world);
    assert!(
        map.servers
            .iter()
            .all(|server| server.phase == ServerPhase::Ready)
    );
    assert!(map.servers.iter().all(|server| server.forwarder.is_some()));
    assert!(map.shards.is_empty());

    world.apply_fault(&Fault::KillServer(1));
    run_for(&mut world, 5 * SECOND);

    assert_clean(&world);
    let phase = controller_map(&world).server(&server_id(1)).unwrap().phase;
    assert_eq!(phase, ServerPhase::Lost);
}

fn forwarders(world: &World) -> BTreeMap<ServerId, usize> {
    let map = controller_map(world);
    let servers = map.servers.iter();
    servers
        .map(|server| {
            (
                server.id.clone(),
                world.host_index(server.forwarder.as_ref().unwrap()),
            )
        })
        .collect()
}

/// Guards against hosts that forward for many servers while others forward for none.
#[test]
fn forwarders_are_spread_within_the_zone_of_their_servers() {
    let world = settled_world(28, 6, 6, true);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for (server, host) in forwarders(&world) {
        let zone = support::world::server_index(&server) % 3;
        assert_eq!(host % 3, zone, "{server} has forwarder {host}");
        *counts.entry(host).or_default() += 1;
    }

    assert_eq!(counts.len(), 6, "{counts:?}");
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

/// Guards against two hosts that use one server's slots, and against servers without a forwarder.
#[test]
fn forwarder_is_replaced_once_its_last_map_has_lapsed() {
    let mut world = settled_world(30, 6, 6, true);
    let controller = world.controller().unwrap();
    let (server, host) = forwarders(&world)
        .into_iter()
        .find(|(_, host)| *host != controller)
        .unwrap();
    let killed_at = world.micros;

    world.apply_fault(&Fault::KillHost(host));
    let replaced = await_that(&mut world, 10, "replacement", |world| {
        forwarders(world)[&server] != host
    });

    let shortest = with_drift(MAP_TTL).as_micros() as u64;
    assert!(
        replaced - killed_at >= shortest,
        "after {} us",
        replaced - killed_at
    );
}

/// Guards against records that grow without bound or leave before they are archived.
#[test]
fn archived_records_leave_the_object() {
    let mut world = settled_world(31, 5, 3, true);
    let controller = world.controller().unwrap();
    let newest = state(&world).records.last().unwrap().number;
    assert_eq!(state(&world).records[0].number, 1);

    world.tell(controller, ScopeEvent::RecordsArchived { up_to: newest });
    run_for(&mut world, SECOND);
    world.apply_fault(&Fault::KillServer(0));
    await_that(&mut world, 10, "reassignment", World::all_served);

    // The newest archived record stays until the next write, as the anchor of the chain.
    let numbers: Vec<u64> = state(&world)
        .records
        .iter()
        .map(|record| record.number)
        .collect();
    assert_eq!(numbers, [newest, newest + 1]);
}

/// Guards against counters and accessors that disagree with the object.
#[test]
fn accessors_describe_the_scope() {
    let world = settled_world(32, 5, 3, true);
    let machine = &world.hosts[world.controller().unwrap()].machine;

    assert_eq!(machine.epoch(), state(&world).epoch);
    assert_eq!(machine.state(), Some(state(&world)));
    assert_eq!(machine.unowned_shards(), 0);
    assert_eq!(machine.moves_in_flight(), 0);
    assert_eq!(machine.server_phases().len(), 3);
    assert_eq!(machine.counters().takeovers, 1);
    assert_eq!(machine.counters().moves[&MoveReason::Initial], 24);
    assert!(machine.authority_end() > BootTime(0));
}
