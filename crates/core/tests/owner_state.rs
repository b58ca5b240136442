//! Tests the tokens and terms with which an assignment goes on after the store has lost writes.

use camphorcove_core::ownership::{LeaderRecord, OwnerState, ServiceOwners};

/// Tokens that a leader uses in one epoch: one for each of many moves.
const USED_TOKENS: u64 = 100_000;

/// Epoch in which the copies are written to which the store returns.
const COPY_EPOCH: u64 = 1;

fn copy() -> OwnerState {
    let mut state = OwnerState::new(String::new());
    state.enter_epoch(COPY_EPOCH);
    let owners = ServiceOwners::new(state.first_token());
    let service = "boats".parse().expect("valid name");
    state.services.insert(service, owners);
    state
}

/// The assignment of a leader that takes the copy over in `epoch`.
fn taken_over(mut state: OwnerState, epoch: u64) -> OwnerState {
    state.skip_lost_terms(epoch);
    state.enter_epoch(epoch);
    state.begin_term(LeaderRecord {
        host: "host-1".parse().expect("valid id"),
        nonce: epoch,
        address: ([127, 0, 0, 1], 6_000).into(),
    });
    state
}

fn next_token(state: &OwnerState) -> u64 {
    let mut tokens = state.services.values().map(|owners| owners.next_token);
    tokens.next().expect("a service")
}

/// Guards against tokens that were given out before, and against two leaders of one term: the store
/// returned to the same copy twice, and the second successor skipped as far as the first.
#[test]
fn second_return_to_a_copy_yields_higher_tokens_and_terms() {
    let first = taken_over(copy(), COPY_EPOCH + 1);

    let second = taken_over(copy(), COPY_EPOCH + 2);

    assert!(next_token(&second) > next_token(&first) + USED_TOKENS);
    assert!(second.term > first.term);
}

/// Guards against skipping tokens and terms again at each takeover of an assignment that may lack
/// owners.
#[test]
fn takeovers_within_an_epoch_skip_nothing() {
    let first = taken_over(copy(), COPY_EPOCH + 1);

    let second = taken_over(first.clone(), COPY_EPOCH + 1);

    assert_eq!(next_token(&second), next_token(&first));
    assert_eq!(second.term, first.term + 1);
}

/// Guards against hosts of this build that cannot read what the build without electors has written.
#[test]
fn assignment_without_electors_is_read() {
    let text = r#"{"epoch":1,"may_lack_owners":false,"earlier_leaders_may_act":false,"term":3,"change":7,
        "leader":null,"hosts":10,"secret":"00","services":{}}"#;

    let state: OwnerState = serde_json::from_str(text).expect("readable");

    assert!(state.electors.is_empty());
    assert_eq!((state.term, state.hosts), (3, 10));
}
