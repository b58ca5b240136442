//! Elections: which host becomes the controller of a scope, and how it takes over.

mod support;

use {
    camphorcove_core::{
        control::ScopeRole,
        ids::ShardId,
        scope::ShardState,
        time::{OUTAGE_LIMIT, with_drift},
    },
    rstest::rstest,
    std::collections::BTreeMap,
    support::{
        faults::{DisabledSafeguards, Fault},
        scenario::*,
        simulation::{SECOND, Simulation, server_index, settled_simulation},
        spec::scope_spec,
    },
};

const HOUR: u64 = 3_600 * SECOND;

/// Guards against a candidate that treats a write as failed because its answer was lost.
#[test]
fn takeover_whose_answer_is_lost_is_recognised() {
    let mut simulation =
        Simulation::new(3, 3, scope_spec(3, 12, true), DisabledSafeguards::default());
    simulation.apply_fault(&Fault::LoseWriteAnswers(1));
    expect_within(&mut simulation, 10, "first write", |simulation| {
        simulation.scope_object.is_some()
    });
    let first = state(&simulation).clone();

    expect_within(&mut simulation, 20, "takeover", Simulation::all_served);

    // An unchanged term shows that the first write was neither lost nor repeated.
    assert_eq!(state(&simulation).epoch, first.epoch);
    assert_eq!(state(&simulation).controller, first.controller);
}

/// Guards against a move that is planned twice because the first answer was lost.
#[rstest]
fn write_whose_answer_is_lost_is_settled_by_reading(#[values(true, false)] checked: bool) {
    let mut simulation = settled_simulation(4, 5, 3, checked);
    let controller = simulation.controller().unwrap();

    simulation.apply_fault(&Fault::LosePlatformAnswers(controller));
    simulation.apply_fault(&Fault::KillServer(0));
    run_for(&mut simulation, 8 * SECOND);
    simulation.apply_fault(&Fault::Heal);
    expect_within(&mut simulation, 10, "reassignment", Simulation::all_served);

    assert_eq!(shards_of(&simulation, 0), []);
    assert_eq!(simulation.controller(), Some(controller));
}

/// Guards against a controller that stops when an elector dies, and against dead electors that
/// are not replaced.
#[test]
fn lost_electors_are_replaced() {
    let mut simulation = settled_simulation(5, 7, 3, true);
    let controller = simulation.controller().unwrap();
    let elector = state(&simulation)
        .electors
        .iter()
        .map(|id| simulation.host_index(id))
        .find(|host| *host != controller)
        .unwrap();

    simulation.apply_fault(&Fault::KillHost(elector));
    let dead = simulation.hosts[elector].info.id.clone();
    expect_within(&mut simulation, 10, "replacement", |simulation| {
        !state(simulation).electors.contains(&dead)
    });

    assert_eq!(state(&simulation).electors.len(), 5);
    assert_eq!(simulation.controller(), Some(controller));
}

/// Guards against a controller that loses its authority while its electors change.
#[rstest]
#[case::new_electors_answer(false)]
#[case::new_electors_cannot_be_asked(true)]
fn change_of_electors_keeps_the_authority(#[case] unreachable: bool) {
    let mut simulation = Simulation::new(
        33,
        3,
        scope_spec(2, 12, true),
        DisabledSafeguards::default(),
    );
    for host in 1..3 {
        simulation.apply_fault(&Fault::KillHost(host));
    }
    expect_within(&mut simulation, 20, "start", Simulation::all_served);
    assert_eq!(state(&simulation).electors.len(), 1);

    for host in 1..3 {
        simulation.apply_fault(&Fault::RestartHost(host));
        if unreachable {
            simulation.apply_fault(&Fault::CutHost {
                host,
                inbound: true,
                outbound: false,
            });
        }
    }
    run_for(&mut simulation, 10 * SECOND);

    assert_no_violations(&simulation);
    let machine = &simulation.hosts[0].machine;
    assert_eq!(machine.counters().authority_lapses, 0);
    assert_eq!(machine.role(), ScopeRole::Controller);
    let electors = if unreachable { 1 } else { 3 };
    assert_eq!(state(&simulation).electors.len(), electors);
}

/// Guards against electors that are all in one availability zone.
#[test]
fn electors_are_spread_over_zones() {
    let simulation = settled_simulation(6, 9, 3, true);
    let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
    for elector in &state(&simulation).electors {
        *zones.entry(simulation.host_index(elector) % 3).or_default() += 1;
    }

    assert_eq!(zones.len(), 3, "{zones:?}");
    assert!(zones.values().all(|count| *count <= 2), "{zones:?}");
}

/// Guards against a move that remains unfinished when its controller is lost.
#[rstest]
fn successor_resumes_moves(#[values(true, false)] checked: bool, #[values(14, 15, 16)] seed: u64) {
    let mut simulation = settled_simulation(seed, 5, 3, checked);
    simulation.apply_fault(&Fault::DrainServer(0, true));
    let end = simulation.micros + 10 * SECOND;
    simulation.run_until_condition(end, |simulation| {
        let shards = &state(simulation).shards;
        shards
            .iter()
            .any(|shard| matches!(shard, ShardState::Releasing { .. }))
    });

    simulation.apply_fault(&Fault::KillController);

    expect_within(&mut simulation, 60, "drain", |simulation| {
        shards_of(simulation, 0).is_empty() && simulation.all_served()
    });
}

/// Whether a host routes requests for a shard to a server that does not hold it.
fn is_routed_without_grant(simulation: &Simulation) -> bool {
    let maps = simulation
        .hosts
        .iter()
        .filter_map(|host| host.held_map.as_ref());
    for (map, _) in maps {
        for (index, entry) in map.shards.iter().enumerate() {
            let shard = ShardId(index as u32);
            let Some(owner) = map.owner(shard).filter(|_| !entry.moving) else {
                continue;
            };
            let server = &simulation.servers[server_index(&owner.id)];
            if server.live_token(shard, simulation.micros) != Some(entry.token) {
                return true;
            }
        }
    }
    false
}

/// Guards against requests that reach the next owner of a moved shard before its grant does.
#[rstest]
fn moved_shard_is_routed_after_its_grant(#[values(41, 42, 43)] seed: u64) {
    let mut simulation = settled_simulation(seed, 3, 3, true);
    assert!(!is_routed_without_grant(&simulation));

    simulation.apply_fault(&Fault::DelayMessages(100, 60_000));
    simulation.apply_fault(&Fault::DrainServer(0, true));
    let end = simulation.micros + 10 * SECOND;
    let early = simulation.run_until_condition(end, is_routed_without_grant);

    assert_eq!(early, None, "log {:#?}", simulation.log);
    assert_no_violations(&simulation);
    assert_eq!(shards_of(&simulation, 0), []);
    assert!(simulation.all_served());
}

/// Lets the controller resign; returns the time until another host controls, in microseconds.
fn hand_over(simulation: &mut Simulation, old: usize) -> u64 {
    let resigned_at = simulation.micros;
    simulation.apply_fault(&Fault::Resign(old));
    let next = expect_within(simulation, 5, "handover", |simulation| {
        simulation
            .controller()
            .is_some_and(|controller| controller != old)
    });
    next - resigned_at
}

/// Guards against a handover that waits for promises to lapse, or during which grants lapse.
#[rstest]
fn resignation_hands_over_at_once(#[values(17, 18, 19, 20)] seed: u64) {
    let mut simulation = settled_simulation(seed, 5, 3, true);
    let old = simulation.controller().unwrap();
    let resigned_at = simulation.micros;

    let took = hand_over(&mut simulation, old);
    let lapsed = simulation.run_until_condition(resigned_at + 10 * SECOND, |simulation| {
        !simulation.all_served()
    });

    assert_no_violations(&simulation);
    // Promises last 2 s and are renewed every 0.5 s, so each is valid for at least 1.5 s more:
    // a handover within 0.5 s did not wait for one to lapse.
    assert!(took < SECOND / 2, "took {took} us");
    assert_eq!(lapsed, None);
    assert_eq!(simulation.hosts[old].machine.role(), ScopeRole::Idle);
}

/// Guards against an offered handover that the resigned controller's last map cancels.
#[rstest]
fn last_map_of_the_resigned_controller_does_not_delay_the_handover(
    #[values(2912, 2915, 2966, 2972)] seed: u64,
) {
    let mut simulation = settled_simulation(seed, 3, 3, true);
    let old = simulation.controller().unwrap();

    let took = hand_over(&mut simulation, old);

    assert_no_violations(&simulation);
    assert!(took < SECOND / 2, "took {took} us");
}

/// Guards against a planned restart during a platform outage, in which all grants would lapse.
#[test]
fn resignation_waits_for_the_platform() {
    let mut simulation = settled_simulation(34, 5, 3, true);
    let old = simulation.controller().unwrap();
    simulation.apply_fault(&Fault::PlatformDown);
    run_for(&mut simulation, 2 * SECOND);

    simulation.apply_fault(&Fault::Resign(old));
    let end = simulation.micros + 30 * SECOND;
    let lapsed = simulation.run_until_condition(end, |simulation| !simulation.all_served());
    assert_eq!(lapsed, None);

    simulation.apply_fault(&Fault::Heal);
    expect_within(&mut simulation, 5, "handover", |simulation| {
        simulation
            .controller()
            .is_some_and(|controller| controller != old)
    });
    assert!(simulation.all_served());
}

/// Guards against a host that becomes the controller again while it shuts down.
#[test]
fn resigned_host_is_no_candidate() {
    let mut simulation = settled_simulation(21, 3, 3, true);
    let old = simulation.controller().unwrap();
    simulation.apply_fault(&Fault::Resign(old));
    run_for(&mut simulation, 5 * SECOND);

    simulation.apply_fault(&Fault::KillController);
    run_for(&mut simulation, 20 * SECOND);

    assert_no_violations(&simulation);
    assert_eq!(simulation.hosts[old].machine.role(), ScopeRole::Idle);
    assert!(simulation.controller().is_some());
}

/// Kills the controller and all electors but one; returns the killed hosts.
fn lose_majority(simulation: &mut Simulation) -> Vec<usize> {
    let controller = simulation.controller().unwrap();
    let mut dead = vec![controller];
    for id in state(simulation).electors.clone().iter().skip(1) {
        let host = simulation.host_index(id);
        if !dead.contains(&host) && dead.len() < 4 {
            dead.push(host);
        }
    }
    for host in &dead {
        simulation.apply_fault(&Fault::KillHost(*host));
    }
    dead
}

/// Guards against a successor without a majority of electors that moves shards, or that lets the
/// grants of reachable servers lapse.
#[test]
fn successor_without_majority_adopts_reachable_servers_and_moves_nothing() {
    let mut simulation = settled_simulation(22, 8, 3, true);
    lose_majority(&mut simulation);
    simulation.apply_fault(&Fault::KillServer(0));
    let before = state(&simulation).shards.clone();
    let lost = shards_of(&simulation, 0).len();

    run_for(&mut simulation, 60 * SECOND);

    assert_no_violations(&simulation);
    assert_eq!(simulation.controller(), None);
    assert_eq!(state(&simulation).shards, before);
    assert_eq!(simulation.served_shards(), before.len() - lost);
}

/// Guards against renewing, without a majority, the grants of servers that check no tokens.
#[test]
fn unchecked_servers_are_not_adopted() {
    let mut simulation = settled_simulation(23, 8, 3, false);
    lose_majority(&mut simulation);

    run_for(&mut simulation, 60 * SECOND);

    assert_no_violations(&simulation);
    assert_eq!(simulation.served_shards(), 0);
}

/// Guards against a planned stop of all old hosts after which no host can assign shards: the other
/// electors are lost, but the controller resigned, so no older authority remains.
#[rstest]
fn resignation_frees_a_successor_from_lost_electors(#[values(true, false)] checked: bool) {
    let mut simulation = settled_simulation(41, 8, 3, checked);
    let old = simulation.controller().unwrap();
    for id in state(&simulation).electors.clone() {
        let host = simulation.host_index(&id);
        if host != old {
            simulation.apply_fault(&Fault::KillHost(host));
        }
    }

    simulation.apply_fault(&Fault::Resign(old));
    expect_within(&mut simulation, 30, "new electors", |simulation| {
        simulation.controller().is_some_and(|host| host != old) && simulation.all_served()
    });

    assert_no_violations(&simulation);
    let electors = state(&simulation).electors.clone();
    assert!(
        electors
            .iter()
            .all(|id| simulation.hosts[simulation.host_index(id)].alive)
    );
}

/// Guards against a scope that waits for lost electors although the operator confirmed their loss.
#[rstest]
fn operator_confirmation_ends_the_wait_for_lost_electors(#[values(true, false)] checked: bool) {
    let mut simulation = settled_simulation(24, 8, 3, checked);
    lose_majority(&mut simulation);
    simulation.apply_fault(&Fault::KillServer(0));
    run_for(&mut simulation, 20 * SECOND);

    simulation.apply_fault(&Fault::ConfirmLost);
    expect_within(&mut simulation, 20, "reassignment", Simulation::all_served);

    assert!(simulation.controller().is_some());
    let confirmed = |simulation: &Simulation| {
        let records = state(simulation).records.iter();
        records
            .into_iter()
            .any(|record| record.reason.contains("operator confirmed"))
    };
    assert!(confirmed(&simulation));
}

/// Guards against a scope that never recovers from the loss of its electors, or that recovers before
/// the outage limit has certainly stopped older controllers.
#[test]
fn outage_limit_ends_the_wait_for_lost_electors() {
    let mut simulation = settled_simulation(25, 8, 3, true);
    simulation.requests_enabled = false;
    lose_majority(&mut simulation);
    simulation.apply_fault(&Fault::KillServer(0));
    let lost_at = simulation.micros;

    let served = expect_within(
        &mut simulation,
        3_700,
        "reassignment",
        Simulation::all_served,
    );

    assert!(served - lost_at > HOUR, "after {} us", served - lost_at);
}

/// Guards against a controller that keeps its authority without platform contact for longer than the
/// outage limit.
#[test]
fn controller_without_platform_contact_stops() {
    let mut simulation = settled_simulation(26, 3, 2, true);
    simulation.requests_enabled = false;
    let controller = simulation.controller().unwrap();
    simulation.apply_fault(&Fault::PlatformDown);
    let cut_at = simulation.micros;
    let limit = OUTAGE_LIMIT.as_micros() as u64;

    simulation.run_until(cut_at + limit * 9 / 10);
    assert_eq!(simulation.controller(), Some(controller));
    simulation.run_until(cut_at + with_drift(OUTAGE_LIMIT).as_micros() as u64);

    assert_no_violations(&simulation);
    assert_eq!(simulation.controller(), None);
}

/// Guards against a takeover that replaces forwarders other than those on the lost controller.
#[test]
fn successor_keeps_the_forwarders() {
    let mut simulation = settled_simulation(29, 6, 6, true);
    let before = forwarders(&simulation);
    let controller = simulation.controller().unwrap();
    simulation.apply_fault(&Fault::KillController);

    expect_within(&mut simulation, 5, "takeover", |simulation| {
        simulation.controller().is_some()
    });
    run_for(&mut simulation, SECOND / 2);

    let after = forwarders(&simulation);
    let moved: Vec<_> = before
        .iter()
        .filter(|(server, host)| after[*server] != **host)
        .collect();
    assert!(
        moved.iter().all(|(_, host)| **host == controller),
        "{moved:?}"
    );
}

/// Guards against two waits in sequence before a dead forwarder is replaced: until its host counts
/// as lost, and only then until its map has lapsed.
#[rstest]
fn forwarders_of_a_killed_controller_are_replaced_within_5_s(
    #[values(51, 52, 53, 54)] seed: u64,
    #[values(true, false)] checked: bool,
) {
    let mut simulation = settled_simulation(seed, 5, 6, checked);
    let old = simulation.controller().unwrap();
    assert!(forwarders(&simulation).values().any(|host| *host == old));
    let killed_at = simulation.micros;

    simulation.apply_fault(&Fault::KillController);
    let replaced_at = expect_within(&mut simulation, 20, "new forwarders", |simulation| {
        simulation
            .controller()
            .is_some_and(|host| host != old && !forwarders(simulation).values().any(|h| *h == old))
    });

    let took = replaced_at - killed_at;
    assert!(took < 5 * SECOND, "took {took} us");
}
