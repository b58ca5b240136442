//! Whether a host reaches servers, told from servers that fail.

use {
    camphorcove_core::{
        dispatch::{ReachCheck, ServerReach},
        ids::ServerId,
        time::BootTime,
    },
    rstest::rstest,
    std::time::Duration,
};

fn server(number: u32) -> ServerId {
    format!("s-{number}").parse().expect("valid id")
}

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(10_000 + millis)
}

fn check(accepted: usize) -> ReachCheck {
    ReachCheck { tried: 3, accepted }
}

/// Guards against a host that takes the crash of one server for a fault of its own network, however
/// often it tries that server.
#[test]
fn one_server_that_fails_is_no_reason_to_check() {
    let mut reach = ServerReach::default();

    for _ in 0..10 {
        reach.record_failure(&server(1));
    }

    assert!(!reach.begin_check(at(0)));
}

/// Guards against checks for servers that failed one at a time, with others reached between them.
#[test]
fn connection_in_between_clears_the_suspicion() {
    let mut reach = ServerReach::default();

    reach.record_failure(&server(1));
    reach.record_connection();
    reach.record_failure(&server(2));

    assert!(!reach.begin_check(at(0)));
}

/// Guards against servers that are slow and are taken for a fault of the host's network.
#[rstest]
#[case::others_answer(300, false)]
#[case::nobody_answers(500, true)]
fn silent_servers_count_only_while_no_server_answers(#[case] after: u64, #[case] checks: bool) {
    let mut reach = ServerReach::default();
    reach.record_answer(at(0));

    reach.record_silence(&server(1), at(after));
    reach.record_silence(&server(2), at(after));

    assert_eq!(reach.begin_check(at(after)), checks);
}

/// Guards against a host that gives its requests away although servers accept its connections.
#[rstest]
#[case::none_accepts(&[0], true)]
#[case::one_accepts(&[1], false)]
#[case::still_none(&[0, 0], true)]
#[case::one_accepts_again(&[0, 1], false)]
#[case::lost_again(&[0, 2, 0], true)]
fn checks_decide_whether_servers_are_out_of_reach(#[case] checks: &[usize], #[case] lost: bool) {
    let mut reach = ServerReach::default();
    reach.record_failure(&server(1));
    reach.record_failure(&server(2));

    for accepted in checks {
        reach.record_check(check(*accepted), at(0));
    }

    assert_eq!(reach.is_lost(), lost);
}

/// Guards against a leader that resigns because a few servers have failed at the same moment.
#[test]
fn time_without_servers_counts_from_the_first_failed_check() {
    let mut reach = ServerReach::default();
    reach.record_check(check(0), at(0));
    reach.record_check(check(0), at(400));
    let lost = reach.lost_for(at(500));
    reach.record_check(check(1), at(800));

    assert_eq!(lost, Duration::from_millis(500));
    assert_eq!(reach.lost_for(at(900)), Duration::ZERO);
}

/// Guards against checks without a pause, and against a host that stops looking while it is cut off.
#[test]
fn checks_go_on_at_intervals_while_servers_are_out_of_reach() {
    let mut reach = ServerReach::default();
    reach.record_failure(&server(1));
    reach.record_failure(&server(2));
    let first = reach.begin_check(at(0));
    reach.record_check(check(0), at(10));

    let too_soon = reach.begin_check(at(100));
    let next = reach.begin_check(at(500));

    assert_eq!((first, too_soon, next), (true, false, true));
}

/// Guards against a fleet without servers that looks like a host without a network.
#[test]
fn check_without_servers_shows_nothing() {
    let mut reach = ServerReach::default();
    let empty = ReachCheck {
        tried: 0,
        accepted: 0,
    };

    reach.record_check(empty, at(0));

    assert!(!reach.is_lost());
}
