//! How a response tells where its body ends.

use {
    http::{HeaderMap, Response, header::TRANSFER_ENCODING},
    http_body::Body,
};

/// Whether the body ends with its connection, so that nothing but a reset shows that it is truncated.
pub fn ends_with_connection<B: Body>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let has_length = response.body().size_hint().exact().is_some();
    has_other_coding(headers) || !has_length && !headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the body has a transfer coding other than `chunked`, also one before it. The header that
/// names the coding is not passed on, so the body would reach the caller encoded.
pub fn has_other_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(coding), None) => !coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => true,
    }
}
