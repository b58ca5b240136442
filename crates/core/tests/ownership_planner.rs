//! Tests single decisions of the leader's ownership planner.

#[path = "support/planner_driver.rs"]
mod planner_driver;

use {
    camphorcove_core::ownership::{OrderFailure, PlanAction, RangePhase, ServerInstance},
    planner_driver::{PlannerDriver, instance, owned_state, owner_of, service},
    std::{collections::VecDeque, time::Duration},
};

/// Guards against two owners of a key: an unresponsive owner whose lease has ended answers
/// again while the write that names the next owner is pending, and gets a grant with a
/// raised token.
#[test]
fn former_owner_gets_no_grant_while_write_of_next_owner_is_pending() {
    let state = owned_state(&[(0, 65_535, 0, 7)]);
    let mut driver = PlannerDriver::new(state, &[0, 1]);
    let unresponsive = instance(0);
    let next_owner = instance(1).id;

    let open = driver.poll_until_write(&unresponsive, |state| {
        owner_of(state, 0) == Some(next_owner.clone())
    });
    for action in &open {
        driver.finish(action, None);
    }
    let mut later = Vec::new();
    for _ in 0..10 {
        later.extend(driver.poll());
    }

    let to_unresponsive = |action: &&PlanAction| matches!(action, PlanAction::Grant { server, .. } if *server == unresponsive);
    assert_eq!(later.iter().find(to_unresponsive), None);
}

/// Guards against lost owners that count as running until their entries expire because a
/// server of another service answers at their address. In incident inc-8def, keys had no
/// owner for two seconds that way.
#[test]
fn owner_at_whose_address_another_server_answers_is_replaced_at_once() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = PlannerDriver::new(state, &[0, 1]);
    let lost = instance(0);

    let renewals = driver.poll();
    for action in &renewals {
        let to_lost = matches!(action, PlanAction::Grant { server, .. } if *server == lost);
        driver.finish(action, to_lost.then_some(OrderFailure::OtherServer));
    }
    let next = driver.poll();

    let written = next.iter().find_map(|action| match action {
        PlanAction::Write(state) => Some(state),
        _ => None,
    });
    let owner = written.and_then(|state| owner_of(state, 0));
    assert_eq!(owner, Some(instance(1).id));
    assert!(
        !next
            .iter()
            .any(|action| matches!(action, PlanAction::Grant { server, .. } if *server == lost))
    );
}

/// Guards against a leader that computes the assignment anew for each answer of a server.
/// With hundreds of servers, it had no processor time left for its digests to the other
/// hosts, so each host in turn took over leadership.
#[test]
fn steps_of_moves_are_gathered_into_one_write() {
    let owners: Vec<(u16, u16, u16, u64)> = (0..32)
        .map(|at| (at * 2_048, at * 2_048 + 2_047, at, u64::from(at)))
        .collect();
    let servers: Vec<u16> = (16..48).collect();
    let mut driver = PlannerDriver::new(owned_state(&owners), &servers);
    let mut writes = 0;

    let mut open: VecDeque<PlanAction> = driver.poll().into();
    for _ in 0..100 {
        for action in driver.advance_and_poll(Duration::from_millis(1)) {
            match action {
                PlanAction::Write(_) => {
                    writes += 1;
                    driver.finish(&action, None);
                }
                action => open.push_back(action),
            }
        }
        // One server answers in each millisecond.
        if let Some(action) = open.pop_front() {
            driver.finish(&action, None);
        }
    }

    assert!(writes <= 5, "{writes} writes within 100 ms");
}

/// Guards against orders of a leader whose takeover another write has replaced, after the store has
/// lost writes: it has to write once more before its first order.
#[test]
fn no_order_is_sent_while_the_assignment_may_lack_owners() {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    state.may_lack_owners = true;
    let mut driver = PlannerDriver::new(state, &[0, 1]);

    let before = driver.poll();
    for action in &before {
        driver.finish(action, None);
    }
    let after = driver.poll();

    let is_grant = |action: &PlanAction| matches!(action, PlanAction::Grant { .. });
    assert!(
        matches!(before.as_slice(), [PlanAction::Write(state)] if !state.may_lack_owners),
        "{before:?}"
    );
    assert_eq!(after.iter().filter(|action| is_grant(action)).count(), 2);
}

/// Guards against a leader whose fleet is behind the assignment: it took the present start of a server
/// for one that had ended, and gave its keys to others without waiting for the lease.
#[test]
fn owner_that_has_started_after_the_known_entry_has_not_ended() {
    let mut state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let owners = state.services.get_mut(&service()).expect("a service");
    let restarted = ServerInstance {
        incarnation: 2,
        address: ([127, 0, 0, 1], 8_000).into(),
        ..instance(0)
    };
    owners.ranges[0].phase = RangePhase::Owned {
        owner: restarted.clone(),
        token: 7,
    };
    let mut driver = PlannerDriver::new(state, &[0, 1]);

    let mut released = false;
    for _ in 0..40 {
        for action in driver.poll() {
            match &action {
                PlanAction::Release { server, .. } => released |= *server == restarted,
                PlanAction::Grant { server, range, .. } if *server != restarted => {
                    assert!(released || range.first > 32_767, "{action:?}");
                }
                PlanAction::Grant { .. } | PlanAction::Write(_) => {}
            }
            driver.finish(&action, None);
        }
    }

    assert!(released);
}
