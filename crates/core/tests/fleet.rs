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

/// More than the time for which a server stays whose entry was removed.
const LATER: Duration = Duration::from_millis(1_500);

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

/// Guards against a server that becomes ready again by an entry in the store, after it has announced
/// to leave, and against another start of it that pays for that.
#[rstest]
#[case::same_start(1, ServerPhase::Draining)]
#[case::earlier_start(0, ServerPhase::Draining)]
#[case::later_start(2, ServerPhase::Ready)]
fn announcement_outlives_the_entries_of_its_start(
    #[case] incarnation: u64,
    #[case] phase: ServerPhase,
) {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;

    let announced = fleet.announce_leaving(&id, 1, START);
    let again = fleet.announce_leaving(&id, 1, START + LATER);
    fleet.remove(&id, RemovalRule::Leaves, START + LATER);
    fleet.expire(START + LATER * 2);
    let left = fleet.get(&id).is_none();
    fleet.upsert(entry(ServerPhase::Ready, incarnation), START + LATER * 3);

    assert_eq!(announced, Some(FleetChange::Announced(id.clone())));
    assert_eq!(again, None);
    assert!(left);
    assert_eq!(fleet.get(&id).map(|entry| entry.phase), Some(phase));
    let since = (phase == ServerPhase::Draining).then_some(START);
    assert_eq!(fleet.leaving_since(&id), since);
}

/// Guards against keyed requests that are refused at once when a server that has announced to leave
/// removes its entry: it serves its keys until they have moved, as others do.
#[test]
fn announced_server_without_an_entry_serves_its_keys_for_a_while() {
    let mut fleet = fleet();
    let id = entry(ServerPhase::Ready, 1).id;
    fleet.announce_leaving(&id, 1, START);

    let removed = fleet.remove(&id, RemovalRule::Leaves, START + LATER);

    assert_eq!(removed, Some(FleetChange::Removed(id.clone())));
    assert_eq!(fleet.leaving_since(&id), Some(START));
}

/// Guards against an answer of an earlier start, which arrives late and takes a server that has
/// started again out of use.
#[test]
fn announcement_of_an_earlier_start_does_not_count() {
    let mut fleet = FleetView::default();
    fleet.upsert(entry(ServerPhase::Ready, 2), START);
    let id = entry(ServerPhase::Ready, 2).id;

    let announced = fleet.announce_leaving(&id, 1, START);

    assert_eq!(announced, None);
    assert_eq!(fleet.announced().count(), 0);
    assert_eq!(fleet.leaving_since(&id), None);
}

/// Guards against followers that are not told of a drain, because a host that lists the store knows
/// of it from the server's answers already.
#[test]
fn announcement_is_no_entry_of_the_store() {
    let mut fleet = fleet();
    let ready = entry(ServerPhase::Ready, 1);

    fleet.announce_leaving(&ready.id, 1, START);

    assert!(fleet.is_stored(&ready));
    assert!(!fleet.is_stored(&entry(ServerPhase::Draining, 1)));
}
