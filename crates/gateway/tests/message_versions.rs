//! Messages between hosts of this build and of builds before it.

mod support;

use {
    bincode::config,
    camphorcove_core::fleet::EvacuationList,
    camphorcove_gateway::peers::{
        Digest, DigestAddition, PeerMessage, Report, ReportAddition, Trailing, open_message,
        seal_message,
    },
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    support::{
        fixtures::{idle_report, version},
        leader_hosts::digest,
    },
};

const SECRET: &[u8] = b"secret";
const TAG_BYTES: usize = 16;

/// The datagram of a build that does not know the addition: it ends before it.
fn without_addition(message: &PeerMessage) -> Vec<u8> {
    let addition = match message {
        PeerMessage::Report(report) => bincode::encode_to_vec(&report.addition, config::standard()),
        PeerMessage::Digest(digest) => bincode::encode_to_vec(&digest.addition, config::standard()),
        _ => unreachable!("only reports and digests have additions"),
    };
    let addition = addition.expect("plain values").len();
    let sealed = seal_message(SECRET, message);
    let body = &sealed[TAG_BYTES..sealed.len() - addition];
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).expect("any key length");
    mac.update(body);
    let mut bytes = mac.finalize().into_bytes()[..TAG_BYTES].to_vec();
    bytes.extend_from_slice(body);
    bytes
}

/// Guards against hosts that drop all reports of hosts of the build before.
#[test]
fn report_of_an_earlier_build_is_read() {
    let report = Report {
        addition: Trailing(ReportAddition {
            zone: Some("zone-a".parse().expect("valid name")),
            ..ReportAddition::default()
        }),
        ..idle_report("host-1".parse().expect("valid id"), 7, 1)
    };

    let opened = open_message(
        SECRET,
        &without_addition(&PeerMessage::Report(report.clone())),
    );

    let expected = Report {
        addition: Trailing::default(),
        ..report
    };
    assert_eq!(opened, Some(PeerMessage::Report(expected)));
}

/// Guards against hosts that take a leader of the build before for lost.
#[test]
fn digest_of_an_earlier_build_is_read() {
    let evacuations = EvacuationList {
        version: version(3),
        zones: ["zone-a".parse().expect("valid name")].into(),
    };
    let digest = Digest {
        addition: Trailing(DigestAddition {
            evacuations: Some(evacuations),
            ..DigestAddition::default()
        }),
        ..digest(7, 1, true)
    };

    let whole = open_message(
        SECRET,
        &seal_message(SECRET, &PeerMessage::Digest(digest.clone())),
    );
    let cut = open_message(
        SECRET,
        &without_addition(&PeerMessage::Digest(digest.clone())),
    );

    let expected = Digest {
        addition: Trailing::default(),
        ..digest.clone()
    };
    assert_eq!(whole, Some(PeerMessage::Digest(digest)));
    assert_eq!(cut, Some(PeerMessage::Digest(expected)));
}
