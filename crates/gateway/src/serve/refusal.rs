//! Answers that this host gives itself.

use {
    crate::forward::AnswerBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    std::time::Duration,
};

/// Why this host answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request cannot be forwarded as it is.
    Malformed,
    /// No route.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// Not run: no configuration is known yet.
    NoConfiguration,
    /// Not run: no server for the request at this moment.
    Unavailable,
    /// Not run: too much load.
    Overloaded,
    /// Not run: the time left does not suffice.
    TooLate,
    /// May have run: the server's answer was lost or spoiled.
    AnswerLost,
    /// May have run: no answer within the time.
    TimedOut,
}

impl Refusal {
    /// Status that the caller sees.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration | Self::Unavailable | Self::Overloaded | Self::TooLate => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Answer to a refused request; `retry_after` is the time after which the caller may retry.
pub fn refuse(refusal: Refusal, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let text = match refusal {
        Refusal::Malformed => "the request is not well-formed",
        Refusal::NoRoute => "no route for this host and path",
        Refusal::TooLarge => "the body is too large",
        Refusal::NoConfiguration => "not run: no configuration yet",
        Refusal::Unavailable => "not run: no server available",
        Refusal::Overloaded => "not run: overloaded",
        Refusal::TooLate => "not run: too little time left",
        Refusal::AnswerLost => "the request may have run: its answer was lost",
        Refusal::TimedOut => "the request may have run: no answer in time",
    };
    let mut response = Response::new(AnswerBody::Whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = refusal.status();
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.2}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
