//! Tests which keys get no requests after their owner has refused one.

use {
    camphorcove_core::{
        ids::ServerId,
        ownership::{RefusalScope, RefusalTable},
        time::BootTime,
    },
    std::time::Duration,
};

fn owner() -> ServerId {
    "s-1".parse().expect("valid id")
}

/// Load: a range has moved, and the host does not know it yet. Guards against requests for all other
/// keys of the old owner that are refused meanwhile.
#[test]
fn refused_range_does_not_stop_others() {
    let now = BootTime::default();
    let mut refusals = RefusalTable::default();

    refusals.record(&owner(), 7, RefusalScope::Range, now);

    let later = now + Duration::from_millis(200);
    assert!(refusals.stops(&owner(), 7, now));
    assert!(!refusals.stops(&owner(), 8, now));
    assert!(!refusals.stops(&owner(), 7, later));
}

/// Failure: the owner has ended and another server has its address. Guards against a request for each
/// of its ranges that the other server has to refuse.
#[test]
fn refusal_by_another_server_stops_all_keys() {
    let now = BootTime::default();
    let mut known = RefusalTable::default();
    let mut unknown = RefusalTable::default();

    known.record(&owner(), 7, RefusalScope::Address, now);
    for token in [7, 8, 8, 9] {
        unknown.record(&owner(), token, RefusalScope::Range, now);
    }

    assert!(known.stops(&owner(), 100, now));
    assert!(unknown.stops(&owner(), 100, now));
}

/// Load: several ranges of a busy server have moved. Guards against a stop of its other keys while it
/// serves them.
#[test]
fn server_that_serves_is_not_taken_for_another() {
    let now = BootTime::default();
    let mut refusals = RefusalTable::default();

    refusals.record(&owner(), 7, RefusalScope::Range, now);
    refusals.record(&owner(), 8, RefusalScope::Range, now);
    refusals.record_served(&owner());
    refusals.record(&owner(), 9, RefusalScope::Range, now);

    assert!(refusals.stops(&owner(), 7, now));
    assert!(refusals.stops(&owner(), 9, now));
    assert!(!refusals.stops(&owner(), 100, now));
}
