//! Tests the envelopes of forwarded requests: without the key, none can be made, altered
//! or reused for another request.

use {
    camphorcove_core::{
        conf::RequestClass,
        ids::{Epoch, FencingToken, HostId, ShardId},
        map::MapVersion,
    },
    camphorcove_net::peer::{
        EnvelopeContext, EnvelopeError, ForwardEnvelope, PeerKey, sign_envelope, verify_envelope,
    },
    http::HeaderValue,
    rstest::rstest,
};

fn key(byte: u8) -> PeerKey {
    PeerKey::new(&[byte; 32]).expect("key")
}

fn host(name: &str) -> HostId {
    name.parse().expect("host")
}

fn envelope() -> ForwardEnvelope {
    ForwardEnvelope {
        from: host("entry"),
        service: "boka".parse().expect("service"),
        shard: Some(ShardId(17)),
        token: Some(FencingToken {
            epoch: Epoch(3),
            sequence: 9,
        }),
        server: "boka-1".parse().expect("server"),
        map: MapVersion {
            epoch: Epoch(3),
            revision: 4,
        },
        remaining_micros: 1_500_000,
        class: RequestClass::Interactive,
        request_id: "r-1".parse().expect("request"),
        idempotency_key: Some("booking 17".into()),
    }
}

fn envelope_context<'a>(
    receiver: &'a HostId,
    method: &'a str,
    path: &'a str,
) -> EnvelopeContext<'a> {
    EnvelopeContext {
        receiver,
        method,
        path,
    }
}

fn signed_header() -> HeaderValue {
    let receiver = host("forwarder");
    sign_envelope(
        &key(1),
        envelope_context(&receiver, "POST", "/boka/17"),
        &envelope(),
    )
    .expect("signed")
}

#[test]
fn an_envelope_arrives_unchanged() {
    let receiver = host("forwarder");

    let opened = verify_envelope(
        &key(1),
        envelope_context(&receiver, "POST", "/boka/17"),
        &signed_header(),
    );

    assert_eq!(opened.expect("authentic"), envelope());
}

#[rstest]
#[case::other_key(2, "forwarder", "POST", "/boka/17")]
#[case::other_host(1, "other", "POST", "/boka/17")]
#[case::other_method(1, "forwarder", "DELETE", "/boka/17")]
#[case::other_path(1, "forwarder", "POST", "/boka/18")]
#[case::moved_boundary(1, "forwarder", "POST/", "boka/17")]
fn an_envelope_is_valid_for_one_request_to_one_host(
    #[case] key_byte: u8,
    #[case] receiver: &str,
    #[case] method: &str,
    #[case] path: &str,
) {
    let receiver = host(receiver);

    let opened = verify_envelope(
        &key(key_byte),
        envelope_context(&receiver, method, path),
        &signed_header(),
    );

    assert!(matches!(opened, Err(EnvelopeError::Forged)), "{opened:?}");
}

/// Guards against accepting an altered envelope, whether it still decodes or not.
#[test]
fn every_changed_digit_is_refused() {
    let receiver = host("forwarder");
    let original = signed_header().as_bytes().to_vec();

    for index in 0..original.len() {
        let mut changed = original.clone();
        changed[index] = if changed[index] == b'0' { b'1' } else { b'0' };
        let value = HeaderValue::from_bytes(&changed).expect("hexadecimal");

        let opened = verify_envelope(
            &key(1),
            envelope_context(&receiver, "POST", "/boka/17"),
            &value,
        );

        assert!(opened.is_err(), "digit {index}");
    }
}

#[rstest]
#[case("")]
#[case("0")]
#[case("zz")]
#[case("00112233")]
fn malformed_texts_are_refused(#[case] text: &str) {
    let receiver = host("forwarder");
    let value = HeaderValue::from_str(text).expect("header value");

    let opened = verify_envelope(
        &key(1),
        envelope_context(&receiver, "POST", "/boka/17"),
        &value,
    );

    assert!(
        matches!(opened, Err(EnvelopeError::Malformed)),
        "{opened:?}"
    );
}
