//! Heads of pipelined requests that the framing guard keeps.

use {
    camphorcove_net::http::{FramingGuard, PipelinedHead},
    rstest::rstest,
};

const FIRST: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const SECOND: &str = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
const UPLOAD: &str = "POST /c HTTP/1.1\r\nContent-Length: 28\r\n\r\n";

fn guard() -> FramingGuard {
    let mut guard = FramingGuard::default();
    guard.keep_heads();
    guard
}

fn inspect(guard: &mut FramingGuard, text: &str) {
    guard.inspect(&mut text.as_bytes().to_vec());
}

fn head(index: u64, text: &str, has_body: bool) -> PipelinedHead {
    PipelinedHead {
        index,
        bytes: text.as_bytes().to_vec(),
        has_body,
    }
}

/// Guards against memory that grows with each request on a connection that nobody reads ahead.
#[test]
fn heads_are_kept_only_on_request() {
    let mut guard = FramingGuard::default();

    for _ in 0..100 {
        inspect(&mut guard, FIRST);
    }

    assert_eq!(guard.take_pipelined(), []);
}

/// Guards against a head that is missed, cut or counted wrongly, in one piece or byte by byte.
#[rstest]
#[case::at_once(1_000)]
#[case::byte_by_byte(1)]
fn heads_behind_an_unanswered_request_are_kept(#[case] piece: usize) {
    let mut guard = guard();
    // The body of the upload looks like a request.
    let text = [FIRST, SECOND, UPLOAD, SECOND, FIRST].concat();

    for bytes in text.as_bytes().chunks(piece) {
        guard.inspect(&mut bytes.to_vec());
    }

    let kept = guard.take_pipelined();
    let expected = [
        head(1, SECOND, false),
        head(2, UPLOAD, true),
        head(3, FIRST, false),
    ];
    assert_eq!(kept, expected);
}

/// Guards against a request that is started although hyper hands it over at once.
#[test]
fn head_behind_answered_requests_is_not_kept() {
    let mut guard = guard();
    inspect(&mut guard, FIRST);
    guard.set_answered(1);

    inspect(&mut guard, SECOND);

    assert_eq!(guard.take_pipelined(), []);
    assert!(guard.has_unanswered() && guard.is_in_head());
}
