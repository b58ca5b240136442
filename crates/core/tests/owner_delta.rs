//! Tests deltas between assignments, as sent to other hosts in datagrams.

use camphorcove_core::ownership::{
    KeyRange, OwnerDelta, OwnerState, RangePhase, ServerInstance, ServiceOwners,
};

fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("s-{number}").parse().expect("valid id"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    }
}

/// An assignment with one range per server.
fn assigned(servers: u16) -> OwnerState {
    let mut state = OwnerState::new("secret".into());
    let mut owners = ServiceOwners::new(1);
    let ranges = KeyRange::ALL.divide(usize::from(servers));
    for (number, range) in (0..servers).zip(ranges) {
        assign(&mut owners, range, number);
    }
    state
        .services
        .insert("boats".parse().expect("valid name"), owners);
    state
}

fn assign(owners: &mut ServiceOwners, range: KeyRange, number: u16) {
    let token = owners.reserve_tokens(1);
    for at in owners.isolate(range) {
        owners.ranges[at].phase = RangePhase::Owned {
            owner: instance(number),
            token,
        };
    }
    owners.merge();
}

/// The assignment after a range has moved to server `number`.
fn moved(mut state: OwnerState, range: KeyRange, number: u16) -> OwnerState {
    state.change += 1;
    for owners in state.services.values_mut() {
        assign(owners, range, number);
    }
    state
}

/// Guards against a delta that splits or replaces ranges and leaves a host with another
/// assignment than the leader's.
#[test]
fn delta_yields_the_leaders_assignment() {
    let old = assigned(4);
    let ranges = [(100, 200), (0, 40_000), (65_535, 65_535), (0, 65_535)];

    for (first, last) in ranges {
        let new = moved(old.clone(), KeyRange { first, last }, 3);

        let applied = OwnerDelta::between(&old, &new).apply(&old);

        assert_eq!(applied, Some(new));
    }
}

/// Guards against a delta that is applied to another assignment than it was computed from.
#[test]
fn delta_for_another_assignment_is_rejected() {
    let old = assigned(4);
    let range = KeyRange {
        first: 100,
        last: 200,
    };
    let delta = OwnerDelta::between(&old, &moved(old.clone(), range, 3));

    let applied = delta.apply(&assigned(5));

    assert_eq!(applied, None);
}
