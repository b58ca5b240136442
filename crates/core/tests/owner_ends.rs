//! Owners that have ended, and owners that a leader with an outdated fleet could take for ended.

#[path = "support/planner_driver.rs"]
mod planner_driver;

use {
    camphorcove_core::{
        fleet::{RemovalRule, ServerEntry, ServerPhase},
        ids::ServiceName,
        ownership::{EndProof, PlanAction, PlanInput, RangePhase, ServerInstance},
    },
    planner_driver::{
        PlannerDriver, START, entry, instance, other_start, owned_state, owner_of, service,
    },
    rstest::rstest,
};

/// Guards against a leader whose fleet is behind the assignment, as after a partition: it took a server
/// that had ended before the owner started at its address for one that had followed the owner, and
/// gave the keys to others while the owner held them.
#[rstest]
#[case::same_service(service())]
#[case::other_service("rooms".parse().expect("valid name"))]
fn owner_at_the_address_of_an_earlier_server_has_not_ended(#[case] earlier_service: ServiceName) {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owner = other_start(5);
    let owners = state.services.get_mut(&service()).expect("a service");
    owners.ranges[0].phase = RangePhase::Owned {
        owner: owner.clone(),
        token: 7,
    };
    let mut driver = PlannerDriver::new(state, &[1]);
    driver
        .fleet
        .upsert(entry(instance(0), earlier_service), START);

    let early = driver.early_grants(&owner, 32_767);

    assert_eq!(early, []);
}

/// Guards against the same for keys that are being taken from such an owner when the leader changes.
#[test]
fn moving_keys_of_an_owner_at_the_address_of_an_earlier_server_await_their_release() {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owner = other_start(5);
    let owners = state.services.get_mut(&service()).expect("a service");
    owners.ranges[0].phase = RangePhase::Moving {
        owner: owner.clone(),
        token: 9,
        target: Some(instance(1)),
    };
    let mut driver = PlannerDriver::new(state, &[0, 1]);

    let early = driver.early_grants(&owner, 32_767);

    assert_eq!(early, []);
}

/// Guards against keys that wait for the lease of an owner although a later server has its address.
#[test]
fn owner_at_the_address_of_a_later_server_has_ended() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::new(state, &[1]);
    driver.fleet.upsert(entry(other_start(5), service()), START);

    let first = driver.poll();

    let written = first.iter().find_map(|action| match action {
        PlanAction::Write(state) => Some(state),
        _ => None,
    });
    assert_ne!(written.and_then(|state| owner_of(state, 0)), None);
    assert_ne!(
        written.and_then(|state| owner_of(state, 0)),
        Some(instance(0).id)
    );
}

/// Guards against a new leader that takes keys from servers which its host does not know yet, as after a
/// partition: callers of these keys were refused while the keys moved away and back again.
#[rstest]
#[case::unknown_id(other_start(5))]
#[case::later_start(ServerInstance { incarnation: 2, ..instance(0) })]
fn owner_that_the_fleet_does_not_show_yet_keeps_its_keys(#[case] owner: ServerInstance) {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owners = state.services.get_mut(&service()).expect("a service");
    owners.ranges[0].phase = RangePhase::Owned {
        owner: owner.clone(),
        token: 7,
    };
    let mut driver = PlannerDriver::new(state, &[0, 1]);
    driver.fleet_is_behind = true;

    let behind = driver.poll_and_finish(10);
    driver.fleet_is_behind = false;
    let caught_up = driver.poll_and_finish(10);

    let renews = |action: &PlanAction| matches!(action, PlanAction::Grant { server, token: 7, .. } if *server == owner);
    let moves = |action: &PlanAction| matches!(action, PlanAction::Write(state) if owner_of(state, 0) != Some(owner.id.clone()));
    assert!(behind.iter().any(renews));
    assert_eq!(behind.iter().find(|action| moves(action)), None);
    assert!(caught_up.iter().any(moves));
}

/// Guards against keys that wait for the entry of a server which is known to have left.
#[test]
fn owner_that_has_left_is_not_awaited() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::new(state, &[0, 1]);
    let leaving = ServerEntry {
        phase: ServerPhase::Draining,
        ..entry(instance(0), service())
    };
    driver.fleet.upsert(leaving, START);
    driver
        .fleet
        .remove(&instance(0).id, RemovalRule::Leaves, START);
    driver.fleet_is_behind = true;

    let actions = driver.poll_and_finish(10);

    let moves = |action: &PlanAction| matches!(action, PlanAction::Write(state) if owner_of(state, 0) != Some(instance(0).id));
    assert!(actions.iter().any(moves));
}

/// Guards against a log line in each planning round while the write that frees the keys fails.
#[test]
fn end_of_an_owner_is_logged_once() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::new(state, &[1]);
    let successor = other_start(5);
    driver
        .fleet
        .upsert(entry(successor.clone(), service()), START);

    let mut logged = Vec::new();
    for _ in 0..10 {
        driver.poll();
        driver
            .planner
            .handle_input(PlanInput::WriteNotApplied, driver.now);
        logged.extend(driver.planner.take_unlogged_ends());
    }

    let proof = EndProof::Replaced {
        by: successor.id,
        incarnation: successor.incarnation,
    };
    assert_eq!(logged, [(instance(0), proof)]);
}
