//! Connections to servers that reset those above their limit.

use {
    camphorcove_core::{dispatch::ConnectionLimit, time::BootTime},
    rstest::rstest,
    std::time::Duration,
};

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(millis)
}

/// Guards against hosts that together open more connections than a server accepts, and against a host
/// that may open none where hosts are many.
#[rstest]
#[case(570, 85, 6)]
#[case(570, 1, 570)]
#[case(100, 530, 2)]
fn connections_are_divided_among_hosts(
    #[case] accepted: u32,
    #[case] hosts: u32,
    #[case] share: u32,
) {
    let limit = ConnectionLimit::default();

    let below = limit.may_open(share - 1, accepted, hosts, at(0));
    let above = limit.may_open(share, accepted, hosts, at(0));

    assert!(below && !above);
}

/// Load: a server with a long queue accepts fewer connections. Guards against hosts that go on to open as many
/// as before, of which each is reset.
#[test]
fn reset_reduces_the_connections_for_some_time() {
    let mut limit = ConnectionLimit::default();

    limit.record_reset(at(0));

    assert!(limit.has_reset(at(1_900)) && !limit.may_open(2, 570, 85, at(1_900)));
    assert!(limit.may_open(1, 570, 85, at(1_900)));
    assert!(!limit.has_reset(at(2_000)) && limit.may_open(2, 570, 85, at(2_000)));
}
