//! Servers, moves, forwarders and audit records, with one fault or operator order per test.

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
        faults::{DisabledSafeguards, Fault},
        scenario::*,
        simulation::{SECOND, Simulation, settled_simulation},
        spec::{scope_spec, server_config, server_id},
    },
};

/// Guards against periodic writes of the scope object while nothing changes.
#[test]
fn steady_state_writes_nothing() {
    let mut simulation = settled_simulation(1, 5, 3, true);
    let writes = simulation.checker.writes;

    run_for(&mut simulation, 60 * SECOND);

    assert_no_violations(&simulation);
    assert_eq!(simulation.checker.writes, writes);
    assert!(simulation.all_served());
}

/// Guards against a restarted server that is not granted its shards again.
#[rstest]
fn restarted_server_gets_its_shards_back(#[values(true, false)] checked: bool) {
    let mut simulation = settled_simulation(7, 5, 3, checked);
    let before = shards_of(&simulation, 1);

    simulation.apply_fault(&Fault::RestartServer(1));
    expect_within(&mut simulation, 2, "new grant", Simulation::all_served);

    assert_eq!(shards_of(&simulation, 1), before);
}

/// Guards against moving the shards of a server that pauses for only a second.
#[test]
fn short_pause_moves_nothing() {
    let mut simulation = settled_simulation(8, 5, 3, true);
    let before = state(&simulation).shards.clone();

    simulation.apply_fault(&Fault::PauseServer(1, SECOND));
    run_for(&mut simulation, 10 * SECOND);

    assert_no_violations(&simulation);
    assert_eq!(state(&simulation).shards, before);
}

/// Guards against a drain that loses shards, moves shards of other servers, or is not marked in the
/// map.
#[rstest]
fn drained_server_gives_up_its_shards_and_only_those(#[values(true, false)] checked: bool) {
    let mut simulation = settled_simulation(9, 5, 3, checked);
    let before = shards_of(&simulation, 0).len() as u64;
    let kept: Vec<ShardId> = shards_of(&simulation, 2);
    let mut spec = simulation.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.drained = vec![server_id(0)];

    simulation.set_spec(spec);
    expect_within(&mut simulation, 60, "drain", |simulation| {
        shards_of(simulation, 0).is_empty() && simulation.all_served()
    });

    assert_eq!(moves(&simulation).get("Drain"), Some(&before));
    assert!(
        kept.iter()
            .all(|shard| shards_of(&simulation, 2).contains(shard))
    );
    let map = controller_map(&simulation);
    assert_eq!(
        map.server(&server_id(0)).unwrap().phase,
        ServerPhase::Draining
    );
}

/// Guards against a server that the platform lists as leaving but that keeps its shards.
#[test]
fn server_listed_as_leaving_gives_up_its_shards() {
    let mut simulation = settled_simulation(37, 5, 3, true);
    let controller = simulation.controller().unwrap();

    simulation.send_event(controller, ScopeEvent::ServersLeaving(vec![server_id(2)]));

    expect_within(&mut simulation, 30, "leave", |simulation| {
        shards_of(simulation, 2).is_empty() && simulation.all_served()
    });
}

/// Sends the controller `event` with its map's version if all hosts hold that version.
fn report_held_maps(simulation: &mut Simulation, event: fn(MapVersion) -> ScopeEvent) {
    let Some(controller) = simulation.controller() else {
        return;
    };
    let newest = controller_map(simulation).version;
    let held_map = |host: &FakeHost| host.held_map.as_ref().map(|(map, _)| map.version);
    if simulation
        .hosts
        .iter()
        .all(|host| held_map(host) == Some(newest))
    {
        simulation.send_event(controller, event(newest));
    }
}

/// Guards against planned moves that wait until older maps lapse, though no host uses them any more.
#[rstest]
#[case::checked(true, ScopeEvent::MapsReplaced)]
#[case::unchecked(false, ScopeEvent::MapsDrained)]
fn move_does_not_wait_for_replaced_maps(
    #[case] checked: bool,
    #[case] event: fn(MapVersion) -> ScopeEvent,
) {
    let mut simulation = settled_simulation(38, 5, 3, checked);
    simulation.requests_enabled = false;
    let started_at = simulation.micros;
    simulation.apply_fault(&Fault::DrainServer(0, true));

    let end = started_at + 30 * SECOND;
    while !shards_of(&simulation, 0).is_empty() && simulation.micros < end {
        run_for(&mut simulation, 20_000);
        report_held_maps(&mut simulation, event);
    }

    assert_no_violations(&simulation);
    // Two batches of moves, each of which would otherwise wait 3 s for its maps to lapse.
    let wait = with_drift(MAP_TTL).as_micros() as u64;
    let took = simulation.micros - started_at;
    assert!(took < wait, "{took} us");
}

/// Guards against a new owner while requests sent under a replaced map are still in flight.
#[rstest]
fn replaced_maps_do_not_shorten_a_move(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut simulation = settled_simulation(seed, 5, 3, false);
    simulation.apply_fault(&Fault::DelayMessages(20, 2 * SECOND));
    simulation.apply_fault(&Fault::DrainServer(0, true));

    for _ in 0..1_500 {
        run_for(&mut simulation, 20_000);
        report_held_maps(&mut simulation, ScopeEvent::MapsReplaced);
    }

    assert_no_violations(&simulation);
    assert_eq!(shards_of(&simulation, 0), []);
}

/// Guards against a scope object that exceeds the platform's size limit because no audit records are
/// archived: planned moves stop before that.
#[rstest]
#[case::few(199, 10, false)]
#[case::many(200, 10, true)]
#[case::few_but_large(20, 6_000, true)]
fn planned_moves_wait_for_the_archive(
    #[case] records: usize,
    #[case] bytes: usize,
    #[case] full: bool,
) {
    let simulation = settled_simulation(39, 3, 2, true);
    let mut state = state(&simulation).clone();
    state.records.clear();

    for _ in 0..records {
        let moves = vec!["x".repeat(bytes)];
        state.append_record(0, AuditAction::Ownership { moves }, "test");
    }

    assert_eq!(state.is_record_limit_reached(), full);
}

/// Guards against a server that was removed from the configuration but keeps its shards.
#[test]
fn removed_server_gives_up_its_shards() {
    let mut simulation = settled_simulation(10, 5, 4, true);
    let mut spec = simulation.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.service.servers.remove(3);

    simulation.set_spec(spec);
    expect_within(&mut simulation, 30, "leave", |simulation| {
        shards_of(simulation, 3).is_empty() && simulation.all_served()
    });

    assert!(controller_map(&simulation).server(&server_id(3)).is_none());
}

/// Guards against a new server that gets no shards, and against moves between the existing servers.
#[test]
fn joining_server_takes_its_share() {
    let mut spec = scope_spec(4, 24, true);
    spec.service.servers.truncate(3);
    let mut simulation = Simulation::new(
        11,
        5,
        scope_spec(4, 24, true),
        DisabledSafeguards::default(),
    );
    simulation.set_spec(spec.clone());
    expect_within(&mut simulation, 20, "start", Simulation::all_served);
    spec.version = ConfigVersion(2);
    spec.service.servers.push(server_config(3));

    simulation.set_spec(spec);
    expect_within(&mut simulation, 30, "join", |simulation| {
        shards_of(simulation, 3).len() == 6 && simulation.all_served()
    });

    assert_eq!(moves(&simulation).get("Join"), Some(&6));
    assert_eq!(moves(&simulation).len(), 2, "{:?}", moves(&simulation));
}

/// Reports the load of each shard to the controller once a second.
fn observe_load(simulation: &mut Simulation, seconds: u64, rate: impl Fn(ShardId) -> f64) {
    for _ in 0..seconds {
        if let Some(controller) = simulation.controller() {
            let shards = (0..simulation.spec.service.shards).map(ShardId);
            let rates = shards.map(|shard| (shard, rate(shard))).collect();
            simulation.send_event(controller, ScopeEvent::LoadObserved(rates));
        }
        run_for(simulation, SECOND);
    }
}

/// Guards against a server that keeps other shards beside one with a hot key, and against shards
/// that move back and forth.
#[test]
fn server_of_a_hot_key_is_cleared_once() {
    let mut simulation = settled_simulation(35, 5, 3, true);
    let hot = shards_of(&simulation, 1)[0];
    let others = shards_of(&simulation, 1).len() as u64 - 1;

    observe_load(
        &mut simulation,
        120,
        |shard| if shard == hot { 500.0 } else { 1.0 },
    );

    assert_no_violations(&simulation);
    assert!(simulation.all_served());
    assert_eq!(shards_of(&simulation, 1), [hot]);
    assert_eq!(moves(&simulation).get("Balance"), Some(&others));
    assert_eq!(moves(&simulation).len(), 2, "{:?}", moves(&simulation));
}

/// Guards against load that stays uneven, and against further moves once it is balanced.
#[test]
fn uneven_load_is_balanced_and_then_left_alone() {
    let mut simulation = settled_simulation(36, 5, 3, true);
    let busy = shards_of(&simulation, 0);
    let rate = |shard: ShardId| if busy.contains(&shard) { 4.0 } else { 1.0 };

    observe_load(&mut simulation, 60, rate);
    let balanced = moves(&simulation);
    observe_load(&mut simulation, 60, rate);

    assert_no_violations(&simulation);
    assert!(balanced["Balance"] > 0);
    assert_eq!(moves(&simulation), balanced);
    for server in 0..3 {
        let load: f64 = shards_of(&simulation, server).into_iter().map(rate).sum();
        assert!(
            (load - 16.0).abs() < 16.0 * 0.15,
            "server {server} has {load}"
        );
    }
}

/// Guards against more moves in flight than `max_moves`.
#[test]
fn moves_are_paced() {
    let mut simulation = settled_simulation(12, 5, 3, false);
    let limit = simulation.spec.service.max_moves as usize;
    simulation.apply_fault(&Fault::DrainServer(0, true));

    let mut most = 0;
    for _ in 0..3_000 {
        run_for(&mut simulation, 10_000);
        let releasing = state(&simulation)
            .shards
            .iter()
            .filter(|shard| matches!(shard, ShardState::Releasing { .. }))
            .count();
        most = most.max(releasing);
    }

    assert_no_violations(&simulation);
    assert_eq!(most, limit);
    assert_eq!(shards_of(&simulation, 0), []);
}

/// Guards against a pin that is ignored, and against a pinned shard that moves back.
#[test]
fn pinned_shard_moves_and_stays() {
    let mut simulation = settled_simulation(13, 5, 3, true);
    let shard = shards_of(&simulation, 0)[0];
    let mut spec = simulation.spec.as_ref().clone();
    spec.version = ConfigVersion(2);
    spec.pins = vec![(shard, server_id(2))];

    simulation.set_spec(spec);
    run_for(&mut simulation, 30 * SECOND);

    assert_no_violations(&simulation);
    assert!(shards_of(&simulation, 2).contains(&shard));
    assert_eq!(moves(&simulation).get("Pin"), Some(&1));
}

/// Guards against an unkeyed service that gets no forwarders, or whose lost servers go unnoticed.
#[test]
fn unkeyed_service_gets_renewals_forwarders_and_maps() {
    let mut simulation =
        Simulation::new(27, 5, scope_spec(4, 0, true), DisabledSafeguards::default());
    expect_within(&mut simulation, 10, "controller", |simulation| {
        simulation.controller().is_some()
    });
    run_for(&mut simulation, 3 * SECOND);
    let map = controller_map(&simulation);
    assert!(
        map.servers
            .iter()
            .all(|server| server.phase == ServerPhase::Ready)
    );
    assert!(map.servers.iter().all(|server| server.forwarder.is_some()));
    assert!(map.shards.is_empty());

    simulation.apply_fault(&Fault::KillServer(1));
    run_for(&mut simulation, 5 * SECOND);

    assert_no_violations(&simulation);
    let phase = controller_map(&simulation)
        .server(&server_id(1))
        .unwrap()
        .phase;
    assert_eq!(phase, ServerPhase::Lost);
}

/// Guards against hosts that forward for many servers while others forward for none.
#[test]
fn forwarders_are_spread_within_the_zone_of_their_servers() {
    let simulation = settled_simulation(28, 6, 6, true);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for (server, host) in forwarders(&simulation) {
        let zone = support::simulation::server_index(&server) % 3;
        assert_eq!(host % 3, zone, "{server} has forwarder {host}");
        *counts.entry(host).or_default() += 1;
    }

    assert_eq!(counts.len(), 6, "{counts:?}");
}

/// Guards against two hosts that forward to one server at the same time, because the old one may
/// still use its map, and against servers that keep a dead forwarder.
#[test]
fn forwarder_is_replaced_once_its_last_map_has_lapsed() {
    let mut simulation = settled_simulation(30, 6, 6, true);
    let controller = simulation.controller().unwrap();
    let (server, host) = forwarders(&simulation)
        .into_iter()
        .find(|(_, host)| *host != controller)
        .unwrap();
    let killed_at = simulation.micros;

    simulation.apply_fault(&Fault::KillHost(host));
    let replaced = expect_within(&mut simulation, 10, "replacement", |simulation| {
        forwarders(simulation)[&server] != host
    });

    let shortest = with_drift(MAP_TTL).as_micros() as u64;
    assert!(
        replaced - killed_at >= shortest,
        "after {} us",
        replaced - killed_at
    );
}

/// Guards against audit records that pile up in the scope object, or are dropped before archiving.
#[test]
fn archived_records_leave_the_object() {
    let mut simulation = settled_simulation(31, 5, 3, true);
    let controller = simulation.controller().unwrap();
    let newest = state(&simulation).records.last().unwrap().number;
    assert_eq!(state(&simulation).records[0].number, 1);

    simulation.send_event(controller, ScopeEvent::RecordsArchived { up_to: newest });
    run_for(&mut simulation, SECOND);
    simulation.apply_fault(&Fault::KillServer(0));
    expect_within(&mut simulation, 10, "reassignment", Simulation::all_served);

    // The newest archived record stays until the next write, as the anchor of the hash chain.
    let numbers: Vec<u64> = state(&simulation)
        .records
        .iter()
        .map(|record| record.number)
        .collect();
    assert_eq!(numbers, [newest, newest + 1]);
}

/// Guards against counters and accessors that contradict the scope object.
#[test]
fn accessors_describe_the_scope() {
    let simulation = settled_simulation(32, 5, 3, true);
    let machine = &simulation.hosts[simulation.controller().unwrap()].machine;

    assert_eq!(machine.epoch(), state(&simulation).epoch);
    assert_eq!(machine.state(), Some(state(&simulation)));
    assert_eq!(machine.unowned_shards(), 0);
    assert_eq!(machine.moves_in_flight(), 0);
    assert_eq!(machine.server_phases().len(), 3);
    assert_eq!(machine.counters().takeovers, 1);
    assert_eq!(machine.counters().moves[&MoveReason::Initial], 24);
    assert!(machine.authority_end() > BootTime(0));
}
