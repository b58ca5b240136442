//! How a response tells where its body ends.

use {
    http::{Response, header::TRANSFER_ENCODING},
    http_body::Body,
};

/// Whether the body ends with its connection, so that a truncated one would look complete.
///
/// This holds without a length and for a transfer coding other than `chunked`. Codings before
/// `chunked` count as well: the header that names them is not passed on.
pub fn ends_with_connection<B: Body>(response: &Response<B>) -> bool {
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => response.body().size_hint().exact().is_none(),
        (Some(coding), None) => !coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => true,
    }
}
