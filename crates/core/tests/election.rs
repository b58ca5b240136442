//! When an elector gives a promise and when it refuses one.

use {
    camphorcove_core::{
        election::{ElectorTable, PromiseReply, PromiseRequest, RefuseReason},
        ids::{Epoch, HostId, ServiceName},
        time::{BootTime, PROMISE_TTL, with_drift},
    },
    rstest::rstest,
    std::time::Duration,
};

const START: BootTime = BootTime::from_millis(100_000);

fn service() -> ServiceName {
    "ledig".parse().unwrap()
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn request(epoch: u64, controller: &str, nonce: u64) -> PromiseRequest {
    PromiseRequest {
        service: service(),
        epoch: Epoch(epoch),
        controller: host(controller),
        nonce,
        resigned: None,
    }
}

fn refused(reason: RefuseReason, known: u64) -> PromiseReply {
    PromiseReply::Refused {
        reason,
        known: Epoch(known),
    }
}

fn ready_time() -> BootTime {
    START + with_drift(PROMISE_TTL)
}

/// Elector that has read the scope object with host-a in epoch 1; it promises from `ready_time`.
fn ready_table() -> ElectorTable {
    let mut table = ElectorTable::new(START);
    table.record_scope_object(&service(), Epoch(1), &host("host-a"), 1, START);
    table
}

/// Guards against two controllers with authority: an elector that promises just after a
/// restart may contradict a promise that its previous process gave.
#[rstest]
#[case::just_started(true, Duration::ZERO, false)]
#[case::almost_waited(true, Duration::from_micros(2_009_999), false)]
#[case::waited(true, Duration::from_micros(2_010_000), true)]
#[case::never_read(false, Duration::from_secs(60), false)]
fn restarted_elector_abstains(#[case] read: bool, #[case] after: Duration, #[case] promises: bool) {
    let mut table = ElectorTable::new(START);
    if read {
        table.record_scope_object(&service(), Epoch(1), &host("host-a"), 1, START);
    }

    let reply = table.answer(&request(1, "host-a", 1), START + after);

    let expected = if promises {
        PromiseReply::Promised
    } else {
        refused(RefuseReason::Abstains, 1)
    };
    assert_eq!(reply, expected);
}

/// Guards against two controllers with a majority at the same time: a promise binds the
/// elector until it has expired on the clock of every host within the drift bound.
#[rstest]
#[case::at_once(Duration::ZERO, false)]
#[case::after_the_promise(PROMISE_TTL, false)]
#[case::just_before_drift(Duration::from_micros(2_009_999), false)]
#[case::after_drift(Duration::from_micros(2_010_000), true)]
fn successor_waits_out_the_promise(#[case] after: Duration, #[case] promises: bool) {
    let mut table = ready_table();
    let given_at = ready_time();
    table.answer(&request(1, "host-a", 1), given_at);

    let reply = table.answer(&request(2, "host-b", 7), given_at + after);

    let expected = if promises {
        PromiseReply::Promised
    } else {
        refused(RefuseReason::PromisedElsewhere, 2)
    };
    assert_eq!(reply, expected);
}

/// Guards against a superseded controller that keeps its authority: once an elector knows
/// a newer term, it must not renew its promise for the older one.
#[test]
fn request_of_a_successor_ends_the_renewal_of_the_old_controller() {
    let mut table = ready_table();
    let now = ready_time();
    table.answer(&request(1, "host-a", 1), now);
    table.answer(&request(2, "host-b", 7), now);

    let reply = table.answer(&request(1, "host-a", 1), now);

    assert_eq!(reply, refused(RefuseReason::HigherEpoch, 2));
}

/// Guards against a promise for a term that the scope object shows as superseded.
#[test]
fn elector_refuses_a_term_below_the_one_it_read() {
    let mut table = ready_table();
    table.record_scope_object(&service(), Epoch(3), &host("host-c"), 1, START);

    let reply = table.answer(&request(2, "host-b", 7), ready_time());

    assert_eq!(reply, refused(RefuseReason::HigherEpoch, 3));
}

/// Guards against two processes that both believe they hold the same term, for example
/// after a restart under the same host id.
#[rstest]
#[case::other_host("host-b", 1)]
#[case::other_process("host-a", 2)]
fn term_belongs_to_one_process(#[case] controller: &str, #[case] nonce: u64) {
    let mut table = ready_table();

    let reply = table.answer(&request(1, controller, nonce), ready_time());

    assert_eq!(reply, refused(RefuseReason::OtherHolder, 1));
}

/// Guards against a resignation that releases an elector from a promise to another term.
#[rstest]
#[case::of_the_promised_term(1, true)]
#[case::of_another_term(2, false)]
fn resignation_frees_only_its_own_promise(#[case] resigned: u64, #[case] promises: bool) {
    let mut table = ready_table();
    let now = ready_time();
    table.answer(&request(1, "host-a", 1), now);
    let mut successor = request(3, "host-b", 7);
    successor.resigned = Some(Epoch(resigned));

    let reply = table.answer(&successor, now);

    assert_eq!(reply == PromiseReply::Promised, promises, "{reply:?}");
}

/// Guards against a promise in one scope that blocks the election in another.
#[test]
fn scopes_are_independent() {
    let mut table = ready_table();
    let now = ready_time();
    table.answer(&request(1, "host-a", 1), now);
    let other: ServiceName = "rutas".parse().unwrap();
    table.record_scope_object(&other, Epoch(4), &host("host-b"), 2, now);
    let mut question = request(4, "host-b", 2);
    question.service = other;

    assert_eq!(table.answer(&question, now), PromiseReply::Promised);
}
