//! Answers of the router itself.

use {
    crate::forward::{RouterBody, mark_result},
    camphorcove_core::outcome::ResultCode,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
};

/// Answer that states a result code and whether the request ran.
pub fn refusal(code: ResultCode) -> Response<RouterBody> {
    let text = format!(
        "{} {}: {}\n",
        code.number(),
        code.execution(),
        code.meaning()
    );
    let mut answer = Response::new(RouterBody::own(text));
    let status = StatusCode::from_u16(code.status());
    *answer.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(seconds) = code.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    mark_result(headers, code);
    answer
}
