//! Signatures of operators: who is accepted, and that each request counts once.

use {
    camphorcove_net::operator::{
        AuthenticatorLimits, KeyRing, OperatorAuthenticator, OperatorKey, OperatorSecret,
        RefusalReason, RequestLine, SignedHead,
    },
    http::HeaderMap,
    rstest::rstest,
    std::time::Duration,
};

const STARTED: u64 = 1_000_000;
const NOW: u64 = 2_000_000;
const WINDOW: u64 = 60_000;
const LINE: RequestLine = RequestLine {
    method: "POST",
    target: "/v1/orders?x=1",
};

fn key(id: &str, digit: &str) -> OperatorKey {
    let secret = OperatorSecret::from_hex(&digit.repeat(64)).unwrap();
    OperatorKey {
        id: id.into(),
        secret,
    }
}

fn authenticator(nonces: usize) -> OperatorAuthenticator {
    let list = format!(
        "# operators\nanna {}\n\nbertil {}\n",
        "a".repeat(64),
        "b".repeat(64)
    );
    let window = Duration::from_millis(WINDOW);
    OperatorAuthenticator::new(
        KeyRing::parse(&list).unwrap(),
        AuthenticatorLimits { window, nonces },
        STARTED,
    )
}

fn signed(key: &OperatorKey, time: u64, nonce: u8) -> SignedHead {
    SignedHead::sign(key, LINE, b"body", time, [nonce; 16])
}

#[test]
fn a_signed_request_survives_its_headers() {
    let head = signed(&key("anna", "a"), NOW, 1);
    let mut headers = HeaderMap::new();
    for (name, value) in head.headers() {
        headers.insert(name, value.parse().unwrap());
    }

    let read = SignedHead::read(&headers).unwrap();

    assert_eq!(read, head);
    assert_eq!(authenticator(10).accept(&read, LINE, NOW), Ok(()));
}

/// Guards against a request that somebody without the key made or changed.
#[rstest]
#[case::unknown_key(key("cecilia", "a"), LINE, RefusalReason::UnknownKey)]
#[case::other_secret(key("anna", "b"), LINE, RefusalReason::WrongSignature)]
#[case::other_method(key("anna", "a"), RequestLine { method: "GET", ..LINE }, RefusalReason::WrongSignature)]
#[case::other_target(key("anna", "a"), RequestLine { target: "/v1/orders?x=2", ..LINE }, RefusalReason::WrongSignature)]
fn a_foreign_request_is_refused(
    #[case] key: OperatorKey,
    #[case] received: RequestLine<'static>,
    #[case] reason: RefusalReason,
) {
    let head = signed(&key, NOW, 1);

    assert_eq!(authenticator(10).accept(&head, received, NOW), Err(reason));
}

/// Guards against signed fields that are not covered by the signature.
#[rstest]
#[case::key(|head: &mut SignedHead| head.key = "bertil".into())]
#[case::time(|head: &mut SignedHead| head.wall_millis += 1)]
#[case::nonce(|head: &mut SignedHead| head.nonce[0] ^= 1)]
#[case::body(|head: &mut SignedHead| head.body[0] ^= 1)]
fn a_changed_field_is_refused(#[case] change: fn(&mut SignedHead)) {
    let mut head = signed(&key("anna", "a"), NOW, 1);
    change(&mut head);

    assert_eq!(
        authenticator(10).accept(&head, LINE, NOW),
        Err(RefusalReason::WrongSignature)
    );
}

#[rstest]
#[case::oldest(NOW - WINDOW, Ok(()))]
#[case::too_old(NOW - WINDOW - 1, Err(RefusalReason::StaleTime))]
#[case::newest(NOW + WINDOW, Ok(()))]
#[case::too_new(NOW + WINDOW + 1, Err(RefusalReason::StaleTime))]
fn the_time_must_be_near(#[case] time: u64, #[case] expected: Result<(), RefusalReason>) {
    let head = signed(&key("anna", "a"), time, 1);

    assert_eq!(authenticator(10).accept(&head, LINE, NOW), expected);
}

/// Guards against a recorded request that takes effect a second time.
#[test]
fn a_replay_is_refused() {
    let authenticator = authenticator(10);
    let head = signed(&key("anna", "a"), NOW, 1);
    authenticator.accept(&head, LINE, NOW).unwrap();

    assert_eq!(
        authenticator.accept(&head, LINE, NOW + 1),
        Err(RefusalReason::ReplayedNonce)
    );
    let same_nonce_of_another = signed(&key("bertil", "b"), NOW, 1);
    assert_eq!(
        authenticator.accept(&same_nonce_of_another, LINE, NOW),
        Ok(())
    );
}

/// Guards against a replay to a host that lost its nonces in a restart.
#[test]
fn a_request_from_before_the_start_is_refused() {
    let head = signed(&key("anna", "a"), STARTED - 1, 1);

    assert_eq!(
        authenticator(10).accept(&head, LINE, STARTED),
        Err(RefusalReason::StaleTime)
    );
}

/// Guards against a replay of a forgotten nonce after the clock was set back.
#[test]
fn a_clock_set_back_does_not_allow_a_replay() {
    let authenticator = authenticator(10);
    let head = signed(&key("anna", "a"), NOW, 1);
    authenticator.accept(&head, LINE, NOW).unwrap();
    let later = NOW + WINDOW + 1;
    authenticator
        .accept(&signed(&key("anna", "a"), later, 2), LINE, later)
        .unwrap();

    assert_eq!(
        authenticator.accept(&head, LINE, NOW),
        Err(RefusalReason::StaleTime)
    );
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_nonce_table_is_bounded_and_recovers() {
    let authenticator = authenticator(3);
    let anna = key("anna", "a");
    for nonce in 0..3 {
        authenticator
            .accept(&signed(&anna, NOW, nonce), LINE, NOW)
            .unwrap();
    }

    assert_eq!(
        authenticator.accept(&signed(&anna, NOW, 3), LINE, NOW),
        Err(RefusalReason::TooMany)
    );
    let later = NOW + WINDOW + 1;
    assert_eq!(
        authenticator.accept(&signed(&anna, later, 4), LINE, later),
        Ok(())
    );
}

/// Guards against secrets in logs and error messages.
#[test]
fn secrets_are_never_shown() {
    let anna = key("anna", "a");
    let wrong = KeyRing::parse(&format!("anna {}x", "a".repeat(64))).unwrap_err();

    for text in [
        format!("{anna:?}"),
        format!("{:?}", authenticator(1)),
        format!("{wrong} {wrong:?}"),
    ] {
        assert!(!text.contains("aaaa"), "{text}");
    }
}

#[rstest]
#[case::no_secret("anna")]
#[case::short("anna aabb")]
#[case::not_hex(&format!("anna {}", "g".repeat(64)))]
#[case::odd(&format!("anna {}", "a".repeat(65)))]
#[case::bad_id(&format!("Anna {}", "a".repeat(64)))]
#[case::twice(&format!("anna {0}\nanna {0}", "a".repeat(64)))]
fn a_wrong_key_list_is_refused(#[case] text: &str) {
    assert!(KeyRing::parse(text).is_err());
}
