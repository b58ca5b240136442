//! Tests how the fleet handles entries that are removed, expire or return.

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
    fleet.upsert(entry(ServerPhase::Ready, 1), START);
    fleet
}

fn may_return() -> RemovalRule {
    RemovalRule::MayReturn {
        until: START + REMOVAL_GRACE_PERIOD,
    }
}

/// Guards against servers that are removed because of a short store outage.
#[test]
fn server_whose_entry_returns_stays_in_the_fleet() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let removed = fleet.remove(&id, may_return(), START);
    let meanwhile = fleet.get(&id).map(|entry| entry.phase);
    fleet.upsert(
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

/// Guards against a server that stays in use long after its entry was removed.
#[test]
fn removed_server_leaves_after_the_grace_period() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    fleet.replace(Vec::new(), may_return(), START);
    let expired = fleet.expire(START + REMOVAL_GRACE_PERIOD);

    assert_eq!(expired, vec![FleetChange::Left(id)]);
    assert_eq!(fleet.entries().count(), 0);
}

/// Guards against new work for a server that left without a drain, and against the removal
/// of an owner before its keys have moved.
#[test]
fn server_that_removed_its_entry_drains_for_the_grace_period() {
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

/// Load: a store outage has ended and most entries have expired. Guards against callers
/// without servers, and against a leaving server that is taken for one with an expired entry.
#[rstest]
#[case::single_leaving_server(1, 12, None, Duration::ZERO)]
#[case::noticed_outage(1, 12, Some(START), Duration::from_millis(2_200))]
#[case::long_after_outage(1, 12, Some(BootTime::from_millis(0)), Duration::from_millis(1_200))]
#[case::unnoticed_outage(6, 12, None, Duration::from_millis(1_000))]
#[case::only_server(1, 1, None, Duration::ZERO)]
fn removal_takes_effect_at_once_unless_the_store_had_an_outage(
    #[case] removed: usize,
    #[case] ready: usize,
    #[case] returned_at: Option<BootTime>,
    #[case] grace_period: Duration,
) {
    let mut guard = OutageGuard::default();
    if let Some(at) = returned_at {
        guard.record_store_recovery(at);
    }

    let rule = guard.rule(removed, ready, START);

    let expected = match grace_period {
        Duration::ZERO => RemovalRule::Leaves,
        grace_period => RemovalRule::MayReturn {
            until: START + grace_period,
        },
    };
    assert_eq!(rule, expected);
}

/// Guards against a drained server that stays in the fleet like one whose entry expired, and
/// against a start time of the drain that is reset by each update of the entry.
#[test]
fn drain_start_is_kept_and_removal_ends_it_at_once() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let drain_started = fleet.upsert(entry(ServerPhase::Draining, 1), START);
    fleet.upsert(
        entry(ServerPhase::Draining, 1),
        START + REMOVAL_GRACE_PERIOD,
    );
    let since = fleet.leaving_since(&id);
    let ended = fleet.remove(&id, RemovalRule::Leaves, START + REMOVAL_GRACE_PERIOD);

    assert_eq!(drain_started, Some(FleetChange::Draining(id.clone())));
    assert_eq!(since, Some(START));
    assert_eq!(ended, Some(FleetChange::Left(id)));
}

/// Guards against taking a server that restarted under its id for its previous incarnation.
#[test]
fn new_incarnation_is_a_new_server() {
    let mut fleet = fleet();

    let change = fleet.upsert(entry(ServerPhase::Ready, 2), START);

    assert_eq!(
        change,
        Some(FleetChange::Joined(entry(ServerPhase::Ready, 2)))
    );
}
