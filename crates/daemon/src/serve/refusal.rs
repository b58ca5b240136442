//! Answers that the router writes itself.

use {
    crate::forward::{RouterBody, set_result_headers},
    camphorcove_core::outcome::ResultCode,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
};

/// Builds the answer to a request that failed: its result code, and whether the request ran.
pub fn refusal(code: ResultCode) -> Response<RouterBody> {
    let text = format!(
        "{} {}: {}\n",
        code.number(),
        code.execution(),
        code.meaning()
    );
    let mut answer = Response::new(RouterBody::from_text(text));
    let status = StatusCode::from_u16(code.status());
    *answer.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(seconds) = code.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    set_result_headers(headers, code);
    answer
}
