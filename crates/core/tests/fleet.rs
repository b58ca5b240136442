//! Entries of servers that vanish, and come back.

use {
    camphorcove_core::{
        fleet::{
            FleetChange, FleetView, OutageGuard, REMOVAL_GRACE_PERIOD, RemovalRule, ServerEntry,
            ServerPhase,
        },
        time::BootTime,
    },
    rstest::rstest,
    std::time::Duration,
};

const START: BootTime = BootTime::from_millis(1_000);

fn entry(phase: ServerPhase, incarnation: u64) -> ServerEntry {
    ServerEntry {
        id: "s-1".parse().expect("valid id"),
        incarnation,
        service: "boats".parse().expect("valid name"),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "a".parse().expect("valid name"),
        slots: 3,
        phase,
        warmup: Duration::ZERO,
    }
}

fn fleet() -> FleetView {
    let mut fleet = FleetView::default();
    fleet.put(entry(ServerPhase::Ready, 1), START);
    fleet
}

fn held() -> RemovalRule {
    RemovalRule::MayReturn {
        until: START + REMOVAL_GRACE_PERIOD,
    }
}

/// Guards against servers that are dropped because the store was away for a while.
#[test]
fn entry_that_comes_back_was_never_gone() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let removed = fleet.remove(&id, held(), START);
    let meanwhile = fleet.get(&id).map(|entry| entry.phase);
    fleet.put(
        entry(ServerPhase::Ready, 1),
        START + REMOVAL_GRACE_PERIOD / 2,
    );
    let expired = fleet.expire(START + REMOVAL_GRACE_PERIOD * 2);

    let missing = FleetChange::Missing(id.clone(), START + REMOVAL_GRACE_PERIOD);
    assert_eq!(removed, Some(missing));
    assert_eq!(meanwhile, Some(ServerPhase::Ready));
    assert_eq!(expired, Vec::new());
    assert!(fleet.get(&id).is_some());
}

/// Guards against a server that is used long after it has gone.
#[test]
fn removed_entry_counts_only_for_a_moment() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    fleet.replace(Vec::new(), held(), START);
    let expired = fleet.expire(START + REMOVAL_GRACE_PERIOD);

    assert_eq!(expired, vec![FleetChange::Left(id)]);
    assert_eq!(fleet.entries().count(), 0);
}

/// Guards against new work for a server that left without a drain, and against keys
/// whose owner is dropped before they can move.
#[test]
fn server_that_removed_its_entry_drains_for_a_moment() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let removed = fleet.remove(&id, RemovalRule::Leaves, START);
    let phase = fleet.get(&id).map(|entry| entry.phase);
    let since = fleet.leaving_since(&id);
    let again = fleet.remove(&id, RemovalRule::Leaves, START + REMOVAL_GRACE_PERIOD / 2);
    let expired = fleet.expire(START + REMOVAL_GRACE_PERIOD);

    assert_eq!(removed, Some(FleetChange::Removed(id.clone())));
    assert_eq!(phase, Some(ServerPhase::Draining));
    assert_eq!(since, Some(START));
    assert_eq!(again, None);
    assert_eq!(expired, vec![FleetChange::Left(id)]);
}

/// Load: an outage of the store ends and most entries have lapsed. Guards against
/// callers without servers, and against a leaver that is taken for a lapsed entry.
#[rstest]
#[case::calm_leaver(1, 12, None, Duration::ZERO)]
#[case::noticed_outage(1, 12, Some(START), Duration::from_millis(2_200))]
#[case::long_after_outage(1, 12, Some(BootTime::from_millis(0)), Duration::from_millis(1_200))]
#[case::unnoticed_outage(6, 12, None, Duration::from_millis(1_000))]
#[case::only_server(1, 1, None, Duration::ZERO)]
fn removal_counts_at_once_unless_the_store_was_away(
    #[case] removed: usize,
    #[case] ready: usize,
    #[case] returned_at: Option<BootTime>,
    #[case] held: Duration,
) {
    let mut guard = OutageGuard::default();
    if let Some(at) = returned_at {
        guard.store_returned(at);
    }

    let rule = guard.rule(removed, ready, START);

    let expected = match held {
        Duration::ZERO => RemovalRule::Leaves,
        held => RemovalRule::MayReturn {
            until: START + held,
        },
    };
    assert_eq!(rule, expected);
}

/// Guards against a drained server that is held like one whose entry lapsed, and
/// against a drain whose time starts anew with each entry.
#[test]
fn drain_is_dated_once_and_ends_at_once() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let begun = fleet.put(entry(ServerPhase::Draining, 1), START);
    fleet.put(
        entry(ServerPhase::Draining, 1),
        START + REMOVAL_GRACE_PERIOD,
    );
    let since = fleet.leaving_since(&id);
    let ended = fleet.remove(&id, RemovalRule::Leaves, START + REMOVAL_GRACE_PERIOD);

    assert_eq!(begun, Some(FleetChange::Draining(id.clone())));
    assert_eq!(since, Some(START));
    assert_eq!(ended, Some(FleetChange::Left(id)));
}

/// Guards against a server that started again under its id and is taken for the old one.
#[test]
fn new_incarnation_is_a_new_server() {
    let mut fleet = fleet();

    let change = fleet.put(entry(ServerPhase::Ready, 2), START);

    assert_eq!(
        change,
        Some(FleetChange::Joined(entry(ServerPhase::Ready, 2)))
    );
}
