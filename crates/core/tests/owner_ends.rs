//! Owners that have ended, and owners that a leader with an outdated fleet could take for ended.

#[path = "support/planner_driver.rs"]
mod planner_driver;

use {
    camphorcove_core::{
        fleet::{RemovalRule, ServerEntry, ServerPhase},
        ids::ServiceName,
        ownership::{
            LEASE_DURATION, OrderFailure, PlanAction, PlanInput, RangePhase, ServerInstance,
        },
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

/// Where another program says that a server runs.
#[derive(Clone, Copy, Debug)]
enum EntryAddress {
    Owner,
    OtherServer,
    Nobody,
}

/// Guards against an entry of another program that passed for the end of an owner: its keys were given to
/// another server while it was at work on them.
#[rstest]
fn entry_in_the_store_proves_no_end(
    #[values("s-0", "s-odd", "a")] name: &str,
    #[values(
        ("boats", ServerPhase::Ready),
        ("boats", ServerPhase::Draining),
        ("metrics", ServerPhase::Ready),
        ("metrics", ServerPhase::Draining)
    )]
    (entry_service, phase): (&str, ServerPhase),
    #[values(0, 2, u64::MAX)] incarnation: u64,
    #[values(EntryAddress::Owner, EntryAddress::OtherServer, EntryAddress::Nobody)]
    address: EntryAddress,
    #[values(true, false)] owner_is_listed: bool,
    #[values(true, false)] is_moving: bool,
) {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owner = instance(0);
    if is_moving {
        let owners = state.services.get_mut(&service()).expect("a service");
        owners.ranges[0].phase = RangePhase::Moving {
            owner: owner.clone(),
            token: 9,
            target: Some(instance(1)),
        };
    }
    let mut driver = match owner_is_listed {
        true => PlannerDriver::succeeding(state, &[0, 1]),
        false => PlannerDriver::succeeding(state, &[1]),
    };
    let other = ServerInstance {
        id: name.parse().expect("valid id"),
        incarnation,
        address: match address {
            EntryAddress::Owner => owner.address,
            EntryAddress::OtherServer => instance(1).address,
            EntryAddress::Nobody => instance(9).address,
        },
    };
    let other = ServerEntry {
        phase,
        ..entry(other, entry_service.parse().expect("valid name"))
    };
    driver.fleet.upsert(other, START);

    let early = driver.early_grants(&owner, 32_767);

    assert_eq!(early, []);
}

/// Guards against keys that wait for the lease of an owner although another server answers at its address.
#[rstest]
#[case::owned(RangePhase::Owned { owner: instance(0), token: 7 })]
#[case::moving(RangePhase::Moving { owner: instance(0), token: 9, target: Some(instance(1)) })]
fn owner_whose_address_has_another_server_has_ended(#[case] phase: RangePhase) {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owners = state.services.get_mut(&service()).expect("a service");
    owners.ranges[0].phase = phase;
    let mut driver = PlannerDriver::succeeding(state, &[1]);

    let first = driver.poll();
    for action in &first {
        let goes_to_owner =
            matches!(action, PlanAction::Grant { server, .. } if *server == instance(0));
        let failure = goes_to_owner.then_some(OrderFailure::OtherServer);
        driver.finish(action, failure);
    }
    let second = driver.poll();

    let written = second.iter().find_map(|action| match action {
        PlanAction::Write(state) => owner_of(state, 0),
        _ => None,
    });
    assert_eq!(written, Some(instance(1).id));
}

/// Guards against keys that wait for the lease of an owner which has started again at another address.
#[test]
fn owner_that_has_started_again_elsewhere_gives_its_keys_back_there() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::succeeding(state, &[1]);
    let later = ServerInstance {
        incarnation: 5,
        address: instance(9).address,
        ..instance(0)
    };
    driver.fleet.upsert(entry(later, service()), START);

    let mut granted_after = None;
    for poll in 1..=10 {
        for action in driver.poll() {
            let failure = match &action {
                PlanAction::Grant { server, .. } | PlanAction::Release { server, .. } => {
                    (*server == instance(0)).then_some(OrderFailure::NotSent)
                }
                PlanAction::Write(_) => None,
            };
            driver.finish(&action, failure);
            let gives_lease = matches!(&action, PlanAction::Grant { range, lease, .. }
                if range.first == 0 && *lease == LEASE_DURATION && failure.is_none());
            granted_after = granted_after.or(gives_lease.then_some(poll));
        }
    }

    assert!(
        granted_after.is_some_and(|poll| poll <= 5),
        "{granted_after:?}"
    );
}

/// Guards against an address of another program's entry that keeps an owner from being asked for its keys.
#[test]
fn owner_is_asked_at_its_address_if_its_entry_names_a_false_one() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::succeeding(state, &[1]);
    let false_start = ServerInstance {
        incarnation: 5,
        address: instance(1).address,
        ..instance(0)
    };
    driver
        .fleet
        .upsert(entry(false_start.clone(), service()), START);

    let mut released_after = None;
    for poll in 1..=20 {
        for action in driver.poll() {
            let is_false =
                matches!(&action, PlanAction::Grant { server, .. } if *server == false_start);
            driver.finish(&action, is_false.then_some(OrderFailure::OtherServer));
            let releases =
                matches!(&action, PlanAction::Release { server, .. } if *server == instance(0));
            released_after = released_after.or(releases.then_some(poll));
        }
    }

    assert!(
        released_after.is_some_and(|poll| poll <= 10),
        "{released_after:?}"
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

    let mut logged = Vec::new();
    for _ in 0..10 {
        for action in driver.poll() {
            match &action {
                PlanAction::Grant { server, .. } if *server == instance(0) => {
                    driver.finish(&action, Some(OrderFailure::OtherServer));
                }
                PlanAction::Write(_) => driver
                    .planner
                    .handle_input(PlanInput::WriteNotApplied, driver.now),
                _ => driver.finish(&action, None),
            }
        }
        logged.extend(driver.planner.take_unlogged_ends());
    }

    assert_eq!(logged, [instance(0)]);
}
