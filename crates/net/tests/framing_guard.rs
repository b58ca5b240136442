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

/// Guards against a request in the body framing of another one that is taken for a pipelined request:
/// hyper does not take a bare line feed there for the end of a line, and the guard did.
#[rstest]
#[case::trailers("0\r\n\n")]
#[case::line_of_trailers("0\r\nX: y\n\r\n")]
#[case::line_behind_trailers("0\r\nX: y\r\n\n")]
#[case::chunk_size("0\n\r\n")]
#[case::chunk_extension("0;x\n\r\n")]
#[case::end_of_chunk("1\r\nx\n0\r\n\r\n")]
fn line_feed_alone_ends_no_line_of_a_chunked_body(
    #[case] body: &str,
    #[values(1, 1_000)] piece: usize,
) {
    let mut guard = guard();
    let text = format!("GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}{SECOND}");
    let mut received = Vec::new();

    for bytes in text.as_bytes().chunks(piece) {
        let mut bytes = bytes.to_vec();
        guard.inspect(&mut bytes);
        received.extend(bytes);
    }

    assert_eq!(guard.take_pipelined(), []);
    assert_eq!(guard.head_count(), 1);
    assert!(received.contains(&0), "hyper has to see an invalid byte");
}

/// Guards against proper chunks and trailers that are taken for ambiguous ones.
#[test]
fn request_behind_chunks_and_trailers_is_kept() {
    let mut guard = guard();
    let body = "4;name=value\r\nab\n\n\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n";
    let text = format!("GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}{SECOND}");

    inspect(&mut guard, &text);

    assert_eq!(guard.take_pipelined(), [head(1, SECOND, false)]);
}
