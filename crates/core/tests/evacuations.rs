//! Tests which availability zones are evacuated, since when, and what that means for keys.

#[path = "support/planner_driver.rs"]
mod planner_driver;

use {
    camphorcove_core::{
        fleet::{
            EvacuationChange, EvacuationList, EvacuationSource, EvacuationTable,
            LOST_WRITE_GRACE_PERIOD,
        },
        ids::{StoreVersion, ZoneName},
        ownership::{OwnerState, PlanAction, RangePhase},
        time::BootTime,
    },
    planner_driver::{PlannerDriver, instance, owned_state},
    rstest::rstest,
    std::time::Duration,
};

const START: BootTime = BootTime::from_millis(100_000);

/// Time allowed for an evacuation, as both deployments set it.
const LIMIT: Duration = Duration::from_secs(5);

fn zone(name: &str) -> ZoneName {
    name.parse().expect("valid name")
}

fn list(epoch: u64, revision: u64, zones: &[&str]) -> EvacuationList {
    EvacuationList {
        version: StoreVersion::new(epoch, revision),
        zones: zones.iter().map(|name| zone(name)).collect(),
    }
}

/// Table of a host that knows this list as current at `START`.
fn table_with(list: EvacuationList) -> EvacuationTable {
    let mut table = EvacuationTable::default();
    table.apply(list, EvacuationSource::Snapshot, START);
    table
}

fn evacuated(table: &EvacuationTable) -> Vec<&str> {
    table.zones().map(|(zone, _)| zone.as_str()).collect()
}

/// Guards against an evacuation that a delayed digest or a stale read ends or begins again: datagrams
/// arrive in any order.
#[rstest]
#[case::older(list(1, 4, &["b"]))]
#[case::same_version(list(1, 5, &["b"]))]
#[case::earlier_epoch(list(0, 9, &["b"]))]
fn list_that_is_not_newer_changes_nothing(#[case] other: EvacuationList) {
    let mut table = table_with(list(1, 5, &["a"]));

    let changes = table.apply(other, EvacuationSource::Snapshot, START);

    assert_eq!(changes, []);
    assert_eq!(evacuated(&table), ["a"]);
}

/// Guards against a second evacuation that ends the first one, or restarts its time.
#[test]
fn two_zones_are_evacuated_at_once() {
    let mut table = table_with(list(0, 1, &[]));
    let later = START + Duration::from_secs(1);

    table.apply(list(0, 2, &["a"]), EvacuationSource::Watch, START);
    table.apply(list(0, 3, &["a", "b"]), EvacuationSource::Watch, later);

    let zones: Vec<_> = table.zones().collect();
    assert_eq!(zones, [(&zone("a"), START), (&zone("b"), later)]);
}

/// Guards against a zone that stays empty after the operator has lifted its evacuation.
#[test]
fn removed_object_ends_the_evacuation_at_once() {
    let mut table = table_with(list(0, 1, &["a", "b"]));

    let changes = table.apply(list(0, 2, &["b"]), EvacuationSource::Watch, START);

    assert_eq!(changes, [EvacuationChange::Ended(zone("a"))]);
    assert!(!table.is_evacuated(&zone("a")));
    assert!(table.may_use_owner(&zone("a"), LIMIT, START));
}

/// Guards against requests to a zone whose object the store has lost with its last writes and that is
/// written again shortly after.
#[test]
fn zone_that_a_restored_store_lacks_stays_evacuated_until_it_is_written_again() {
    let mut table = table_with(list(0, 9, &["a"]));
    let since = table.zones().next().map(|(_, since)| since);
    let within = START + LOST_WRITE_GRACE_PERIOD / 2;

    let held = table.apply(list(1, 3, &[]), EvacuationSource::Snapshot, START);
    let expired = table.expire(within);
    let again = table.apply(list(1, 4, &["a"]), EvacuationSource::Watch, within);
    let later = table.expire(START + LOST_WRITE_GRACE_PERIOD * 2);

    let until = START + LOST_WRITE_GRACE_PERIOD;
    assert_eq!(held, [EvacuationChange::Held(zone("a"), until)]);
    assert_eq!((expired, again, later), (vec![], vec![], vec![]));
    assert_eq!(table.zones().next().map(|(_, since)| since), since);
}

/// Guards against a zone that stays empty for good, as its object was lifted before the store
/// returned to its backup, and against lists of the new epoch that end or extend the time.
#[test]
fn zone_that_is_not_written_again_is_used_after_the_grace_period() {
    let mut table = table_with(list(0, 9, &["a"]));

    table.apply(list(1, 3, &[]), EvacuationSource::Snapshot, START);
    let next = START + Duration::from_secs(1);
    let changes = table.apply(list(1, 4, &["b"]), EvacuationSource::Watch, next);
    let just_before = (START + LOST_WRITE_GRACE_PERIOD).minus(Duration::from_millis(1));
    let early = table.expire(just_before);
    let expired = table.expire(START + LOST_WRITE_GRACE_PERIOD);

    assert_eq!(changes, [EvacuationChange::Began(zone("b"), next)]);
    assert_eq!(early, []);
    assert_eq!(expired, [EvacuationChange::Ended(zone("a"))]);
    assert_eq!(evacuated(&table), ["b"]);
}

/// Guards against keyed requests that reach the zone after the time allowed, since the change needs
/// up to half of it to reach a host, and against refusals before the keys have had time to move.
#[test]
fn owners_serve_for_half_of_the_time_allowed() {
    let mut table = table_with(list(0, 1, &[]));
    table.apply(list(0, 2, &["a"]), EvacuationSource::Watch, START);
    let end = START + LIMIT / 2;

    let last = table.may_use_owner(&zone("a"), LIMIT, end.minus(Duration::from_millis(1)));

    assert!(last);
    assert!(!table.may_use_owner(&zone("a"), LIMIT, end));
    assert!(table.may_use_owner(&zone("b"), LIMIT, end));
}

/// Guards against a setting below the time of propagation that never stops requests, or overflows.
#[test]
fn short_limit_stops_requests_at_once() {
    let mut table = table_with(list(0, 1, &[]));
    table.apply(list(0, 2, &["a"]), EvacuationSource::Watch, START);

    assert!(!table.may_use_owner(&zone("a"), Duration::from_secs(1), START));
}

/// Guards against a host that counts the time allowed from its own late knowledge: after missed
/// digests the zone may be evacuated for as long as the known list was not confirmed.
#[rstest]
#[case::next_digest(125, 125)]
#[case::missed_digests(1_000, 700)]
#[case::watch_after_missed_digests(2_000, 700)]
#[case::out_of_contact(60_000, 58_500)]
fn evacuation_is_backdated_to_the_last_current_list(
    #[case] age_ms: u64,
    #[case] backdated_ms: u64,
) {
    let mut table = table_with(list(0, 1, &[]));
    table.confirm(START);
    let now = START + Duration::from_millis(age_ms);

    table.apply(list(0, 2, &["a"]), EvacuationSource::Snapshot, now);

    let since = table.zones().next().map(|(_, since)| since);
    assert_eq!(since, Some(now.minus(Duration::from_millis(backdated_ms))));
}

/// Guards against a host that starts during an evacuation and sends keyed requests to the zone for
/// as long as if it had just begun.
#[test]
fn zone_in_the_first_list_of_a_host_gets_no_requests() {
    let table = table_with(list(0, 5, &["a"]));

    assert!(!table.may_use_owner(&zone("a"), LIMIT, START));
}

/// Guards against keys that stay in an evacuated zone or move to a server there: the servers are
/// ready and answer, so only the zone tells.
#[test]
fn keys_of_an_evacuated_zone_move_to_servers_of_other_zones() {
    let state = owned_state(&[(0, 32_767, 0, 7), (32_768, 65_535, 1, 8)]);
    let mut driver = planner_with_zones(state, &["a", "b", "a", "b"]);
    driver.evacuations = table_with(list(0, 1, &["a"]));

    driver.poll_and_finish(60);

    let owners = owners(&driver);
    assert!(!owners.is_empty());
    assert!(
        owners.iter().all(|id| id == "s-1" || id == "s-3"),
        "{owners:?}"
    );
}

/// Guards against keys that are taken from their owners although no server may take them, which
/// would refuse requests before the time allowed is over.
#[test]
fn keys_stay_with_their_owners_while_all_zones_are_evacuated() {
    let state = owned_state(&[(0, 65_535, 0, 7)]);
    let mut driver = planner_with_zones(state, &["a", "b"]);
    driver.evacuations = table_with(list(0, 1, &["a", "b"]));

    let actions = driver.poll_and_finish(60);

    assert_eq!(owners(&driver), ["s-0"]);
    let is_release = |action: &PlanAction| matches!(action, PlanAction::Release { .. });
    assert!(!actions.iter().any(is_release));
}

/// Guards against moves that were chosen before the evacuation and complete into the zone.
#[test]
fn move_that_is_under_way_does_not_end_in_an_evacuated_zone() {
    let state = owned_state(&[(0, 65_535, 0, 7)]);
    let mut driver = planner_with_zones(state, &["a", "b", "c"]);
    let mut target = None;
    driver.evacuations = table_with(list(0, 1, &["a"]));
    while target.is_none() {
        for action in driver.poll() {
            if let PlanAction::Write(state) = &action {
                let records = state.services.values().flat_map(|owners| &owners.ranges);
                for record in records {
                    if let RangePhase::Moving { target: next, .. } = &record.phase {
                        target = next.clone();
                    }
                }
            }
            driver.finish(&action, None);
        }
    }
    let chosen = target.expect("a target");
    let zone_of_target = driver.fleet.get(&chosen.id).expect("listed").zone.clone();
    driver.evacuations = table_with(list(0, 2, &["a", zone_of_target.as_str()]));

    driver.poll_and_finish(60);

    let owners = owners(&driver);
    assert!(!owners.contains(&chosen.id.to_string()), "{owners:?}");
    assert!(!owners.contains(&"s-0".to_owned()), "{owners:?}");
}

/// Planner for servers in these zones.
fn planner_with_zones(state: OwnerState, zones: &[&str]) -> PlannerDriver {
    let numbers: Vec<u16> = (0..).take(zones.len()).collect();
    let mut driver = PlannerDriver::new(state, &numbers);
    for (number, name) in numbers.iter().zip(zones) {
        let id = instance(*number).id;
        let mut entry = driver.fleet.get(&id).expect("listed").clone();
        entry.zone = zone(name);
        driver.fleet.upsert(entry, START);
    }
    driver
}

/// Ids of all owners in the assignment of the planner, without repetitions.
fn owners(driver: &PlannerDriver) -> Vec<String> {
    let services = driver.planner.state().services.values();
    let mut owners: Vec<String> = services
        .flat_map(|owners| &owners.ranges)
        .filter_map(|record| match &record.phase {
            RangePhase::Owned { owner, .. } => Some(owner.id.to_string()),
            RangePhase::Moving { .. } | RangePhase::Free => None,
        })
        .collect();
    owners.sort();
    owners.dedup();
    owners
}
