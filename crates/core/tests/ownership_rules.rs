//! Rules for servers, moves, forwarders and records, one fault or order at a time.

mod support;

use {
    camphorcove_core::{
        audit::AuditAction,
        control::ScopeEvent,
        ids::{ConfigVersion, ShardId},
        map::{MapVersion, ServerPhase},
        scope::{MoveReason, ShardState},
        time::{BootTime, MAP_TTL, with_drift},
    },
    rstest::rstest,
    std::collections::BTreeMap,
    support::{
        fake_host::FakeHost,
        faults::{Fault, RemovedGuards},
        scenario::*,
        spec::{scope_spec, server_config, server_id},
        world::{SECOND, World, settled_world},
    },
};

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

/// Guards against a server that is about to be taken away with its shards.
#[test]
fn server_listed_as_leaving_gives_up_its_shards() {
    let mut world = settled_world(37, 5, 3, true);
    let controller = world.controller().unwrap();

    world.tell(controller, ScopeEvent::ServersLeaving(vec![server_id(2)]));

    await_that(&mut world, 30, "leave", |world| {
        shards_of(world, 2).is_empty() && world.all_served()
    });
}

/// Tells the controller its map's version whenever all hosts hold it.
fn report_held_maps(world: &mut World, event: fn(MapVersion) -> ScopeEvent) {
    let Some(controller) = world.controller() else {
        return;
    };
    let newest = controller_map(world).version;
    let held = |host: &FakeHost| host.held.as_ref().map(|(map, _)| map.version);
    if world.hosts.iter().all(|host| held(host) == Some(newest)) {
        world.tell(controller, event(newest));
    }
}

/// Guards against planned moves that wait for maps which no longer matter.
#[rstest]
#[case::checked(true, ScopeEvent::MapsReplaced)]
#[case::unchecked(false, ScopeEvent::MapsDrained)]
fn move_does_not_wait_for_replaced_maps(
    #[case] checked: bool,
    #[case] event: fn(MapVersion) -> ScopeEvent,
) {
    let mut world = settled_world(38, 5, 3, checked);
    world.requests = false;
    let started_at = world.micros;
    world.apply_fault(&Fault::DrainServer(0, true));

    let end = started_at + 30 * SECOND;
    while !shards_of(&world, 0).is_empty() && world.micros < end {
        run_for(&mut world, 20_000);
        report_held_maps(&mut world, event);
    }

    assert_clean(&world);
    // Two batches of moves; each would wait 3 s for its maps.
    let wait = with_drift(MAP_TTL).as_micros() as u64;
    let took = world.micros - started_at;
    assert!(took < wait, "{took} us");
}

/// Guards against a new owner while requests sent under a replaced map are still under way.
#[rstest]
fn replaced_maps_do_not_shorten_a_move(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = settled_world(seed, 5, 3, false);
    world.apply_fault(&Fault::Slow(20, 2 * SECOND));
    world.apply_fault(&Fault::DrainServer(0, true));

    for _ in 0..1_500 {
        run_for(&mut world, 20_000);
        report_held_maps(&mut world, ScopeEvent::MapsReplaced);
    }

    assert_clean(&world);
    assert_eq!(shards_of(&world, 0), []);
}

/// Guards against an object that outgrows the platform's limit while nothing is archived.
#[rstest]
#[case::few(199, 10, false)]
#[case::many(200, 10, true)]
#[case::few_but_large(20, 6_000, true)]
fn planned_moves_wait_for_the_archive(
    #[case] records: usize,
    #[case] bytes: usize,
    #[case] full: bool,
) {
    let world = settled_world(39, 3, 2, true);
    let mut state = state(&world).clone();
    state.records.clear();

    for _ in 0..records {
        let moves = vec!["x".repeat(bytes)];
        state.append_record(0, AuditAction::Ownership { moves }, "test");
    }

    assert_eq!(state.is_full_of_records(), full);
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

/// Tells the controller the load of each shard once a second.
fn observe_load(world: &mut World, seconds: u64, rate: impl Fn(ShardId) -> f64) {
    for _ in 0..seconds {
        if let Some(controller) = world.controller() {
            let shards = (0..world.spec.service.shards).map(ShardId);
            let rates = shards.map(|shard| (shard, rate(shard))).collect();
            world.tell(controller, ScopeEvent::LoadObserved(rates));
        }
        run_for(world, SECOND);
    }
}

/// Guards against a hot key whose server also keeps others, and against shards that go to and fro.
#[test]
fn server_of_a_hot_key_is_cleared_once() {
    let mut world = settled_world(35, 5, 3, true);
    let hot = shards_of(&world, 1)[0];
    let others = shards_of(&world, 1).len() as u64 - 1;

    observe_load(
        &mut world,
        120,
        |shard| if shard == hot { 500.0 } else { 1.0 },
    );

    assert_clean(&world);
    assert!(world.all_served());
    assert_eq!(shards_of(&world, 1), [hot]);
    assert_eq!(moves(&world).get("Balance"), Some(&others));
    assert_eq!(moves(&world).len(), 2, "{:?}", moves(&world));
}

/// Guards against load that stays uneven, and against moves after it is even.
#[test]
fn uneven_load_is_balanced_and_then_left_alone() {
    let mut world = settled_world(36, 5, 3, true);
    let busy = shards_of(&world, 0);
    let rate = |shard: ShardId| if busy.contains(&shard) { 4.0 } else { 1.0 };

    observe_load(&mut world, 60, rate);
    let balanced = moves(&world);
    observe_load(&mut world, 60, rate);

    assert_clean(&world);
    assert!(balanced["Balance"] > 0);
    assert_eq!(moves(&world), balanced);
    for server in 0..3 {
        let load: f64 = shards_of(&world, server).into_iter().map(rate).sum();
        assert!(
            (load - 16.0).abs() < 16.0 * 0.15,
            "server {server} has {load}"
        );
    }
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
