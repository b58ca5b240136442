//! Tests the conversion of times on this host to deadlines on a backend server's clock.

use {
    camphorcove_core::time::{BootTime, CLOCK_DRIFT_PPM},
    camphorcove_net::servers::{ClockTable, ServerClock, ServerTime},
    rstest::rstest,
};

const RECEIVED: BootTime = BootTime::from_millis(50_000);

fn clock(reading: u64) -> ServerClock {
    ServerClock {
        reading: ServerTime(reading),
        received_at: RECEIVED,
    }
}

/// Guards against a server with a slower clock that accepts an order after the grant ended.
#[rstest]
#[case::below_a_second(600_000)]
#[case::one_microsecond(1)]
#[case::seconds(3_500_000)]
fn a_slow_server_reaches_the_deadline_by_the_end(#[case] ahead: u64) {
    let end = BootTime(RECEIVED.0 + ahead);

    let deadline = clock(1_000_000).deadline(end);

    // Time at `end` on the slowest clock within the drift bound.
    let slowest = 1_000_000 + ahead - (ahead * u64::from(CLOCK_DRIFT_PPM)).div_ceil(1_000_000);
    assert!(deadline.0 <= slowest, "{} > {slowest}", deadline.0);
}

/// Guards against a deadline in the future for a grant that has already ended.
#[test]
fn a_deadline_before_the_reading_lies_in_the_past() {
    let end = RECEIVED.minus(std::time::Duration::from_millis(20));

    let deadline = clock(1_000_000).deadline(end);

    assert_eq!(deadline, ServerTime(980_000));
}

/// Guards against an overflow when a server reports the largest possible time.
#[test]
fn the_largest_reading_is_accepted() {
    let deadline = clock(u64::MAX).deadline(RECEIVED + std::time::Duration::from_secs(1));

    assert!(deadline.0 > u64::MAX / 2);
}

/// Guards against a mix-up of servers of different services that have the same id.
#[test]
fn readings_are_kept_by_address() {
    let table = ClockTable::default();
    let (first, second) = (
        "127.0.0.1:1001".parse().unwrap(),
        "127.0.0.1:1002".parse().unwrap(),
    );

    table.record(first, clock(7));

    assert_eq!(table.latest(first), Some(clock(7)));
    assert_eq!(table.latest(second), None);
}
