//! Authentication of operator requests: valid signatures are accepted, replays are not.

use {
    camphorcove_net::operator::{
        AuthenticatorLimits, KeyRing, OperatorAuthenticator, OperatorKey, OperatorSecret,
        RefusalReason, RequestLine, RequestSignature,
    },
    http::HeaderMap,
    rstest::rstest,
    std::time::Duration,
};

const STARTED_MILLIS: u64 = 1_000_000;
const NOW_MILLIS: u64 = 2_000_000;
const WINDOW_MILLIS: u64 = 60_000;
const REQUEST_LINE: RequestLine = RequestLine {
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
    let window = Duration::from_millis(WINDOW_MILLIS);
    OperatorAuthenticator::new(
        KeyRing::parse(&list).unwrap(),
        AuthenticatorLimits { window, nonces },
        STARTED_MILLIS,
    )
}

fn signed(key: &OperatorKey, time: u64, nonce: u8) -> RequestSignature {
    RequestSignature::sign(key, REQUEST_LINE, b"body", time, [nonce; 16])
}

#[test]
fn a_signature_is_read_back_from_its_headers() {
    let signature = signed(&key("anna", "a"), NOW_MILLIS, 1);
    let mut headers = HeaderMap::new();
    for (name, value) in signature.headers() {
        headers.insert(name, value.parse().unwrap());
    }

    let read = RequestSignature::read(&headers).unwrap();

    assert_eq!(read, signature);
    assert_eq!(
        authenticator(10).accept(&read, REQUEST_LINE, NOW_MILLIS),
        Ok(())
    );
}

/// Guards against a request that was signed with another key or changed on the way.
#[rstest]
#[case::unknown_key(key("cecilia", "a"), REQUEST_LINE, RefusalReason::UnknownKey)]
#[case::other_secret(key("anna", "b"), REQUEST_LINE, RefusalReason::WrongSignature)]
#[case::other_method(key("anna", "a"), RequestLine { method: "GET", ..REQUEST_LINE }, RefusalReason::WrongSignature)]
#[case::other_target(key("anna", "a"), RequestLine { target: "/v1/orders?x=2", ..REQUEST_LINE }, RefusalReason::WrongSignature)]
fn a_wrongly_signed_request_is_refused(
    #[case] key: OperatorKey,
    #[case] received: RequestLine<'static>,
    #[case] reason: RefusalReason,
) {
    let signature = signed(&key, NOW_MILLIS, 1);

    assert_eq!(
        authenticator(10).accept(&signature, received, NOW_MILLIS),
        Err(reason)
    );
}

/// Guards against signed fields that are not covered by the signature.
#[rstest]
#[case::key(|signature: &mut RequestSignature| signature.key = "bertil".into())]
#[case::time(|signature: &mut RequestSignature| signature.wall_millis += 1)]
#[case::nonce(|signature: &mut RequestSignature| signature.nonce[0] ^= 1)]
#[case::body(|signature: &mut RequestSignature| signature.body[0] ^= 1)]
fn a_changed_field_is_refused(#[case] change: fn(&mut RequestSignature)) {
    let mut signature = signed(&key("anna", "a"), NOW_MILLIS, 1);
    change(&mut signature);

    assert_eq!(
        authenticator(10).accept(&signature, REQUEST_LINE, NOW_MILLIS),
        Err(RefusalReason::WrongSignature)
    );
}

#[rstest]
#[case::oldest(NOW_MILLIS - WINDOW_MILLIS, Ok(()))]
#[case::too_old(NOW_MILLIS - WINDOW_MILLIS - 1, Err(RefusalReason::StaleTime))]
#[case::newest(NOW_MILLIS + WINDOW_MILLIS, Ok(()))]
#[case::too_new(NOW_MILLIS + WINDOW_MILLIS + 1, Err(RefusalReason::StaleTime))]
fn the_time_must_be_within_the_window(
    #[case] time: u64,
    #[case] expected: Result<(), RefusalReason>,
) {
    let signature = signed(&key("anna", "a"), time, 1);

    assert_eq!(
        authenticator(10).accept(&signature, REQUEST_LINE, NOW_MILLIS),
        expected
    );
}

/// Guards against a recorded request that takes effect a second time.
#[test]
fn a_replay_is_refused() {
    let authenticator = authenticator(10);
    let signature = signed(&key("anna", "a"), NOW_MILLIS, 1);
    authenticator
        .accept(&signature, REQUEST_LINE, NOW_MILLIS)
        .unwrap();

    assert_eq!(
        authenticator.accept(&signature, REQUEST_LINE, NOW_MILLIS + 1),
        Err(RefusalReason::ReplayedNonce)
    );
    let same_nonce_of_another = signed(&key("bertil", "b"), NOW_MILLIS, 1);
    assert_eq!(
        authenticator.accept(&same_nonce_of_another, REQUEST_LINE, NOW_MILLIS),
        Ok(())
    );
}

/// Guards against a replay to a host whose nonces were cleared by a restart.
#[test]
fn a_request_from_before_the_start_is_refused() {
    let signature = signed(&key("anna", "a"), STARTED_MILLIS - 1, 1);

    assert_eq!(
        authenticator(10).accept(&signature, REQUEST_LINE, STARTED_MILLIS),
        Err(RefusalReason::StaleTime)
    );
}

/// Guards against a replay of an expired nonce after the host's clock was set back.
#[test]
fn a_clock_set_back_does_not_allow_a_replay() {
    let authenticator = authenticator(10);
    let signature = signed(&key("anna", "a"), NOW_MILLIS, 1);
    authenticator
        .accept(&signature, REQUEST_LINE, NOW_MILLIS)
        .unwrap();
    let later = NOW_MILLIS + WINDOW_MILLIS + 1;
    authenticator
        .accept(&signed(&key("anna", "a"), later, 2), REQUEST_LINE, later)
        .unwrap();

    assert_eq!(
        authenticator.accept(&signature, REQUEST_LINE, NOW_MILLIS),
        Err(RefusalReason::StaleTime)
    );
}

/// Guards against a nonce table that grows without limit, or that stays full after its
/// nonces have expired.
#[test]
fn the_nonce_table_is_bounded_and_recovers() {
    let authenticator = authenticator(3);
    let anna = key("anna", "a");
    for nonce in 0..3 {
        authenticator
            .accept(&signed(&anna, NOW_MILLIS, nonce), REQUEST_LINE, NOW_MILLIS)
            .unwrap();
    }

    assert_eq!(
        authenticator.accept(&signed(&anna, NOW_MILLIS, 3), REQUEST_LINE, NOW_MILLIS),
        Err(RefusalReason::TooMany)
    );
    let later = NOW_MILLIS + WINDOW_MILLIS + 1;
    assert_eq!(
        authenticator.accept(&signed(&anna, later, 4), REQUEST_LINE, later),
        Ok(())
    );
}

/// Guards against secrets in debug output and error messages.
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
fn an_invalid_key_list_is_refused(#[case] text: &str) {
    assert!(KeyRing::parse(text).is_err());
}
