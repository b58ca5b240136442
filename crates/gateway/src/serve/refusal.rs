//! Error responses that this host creates itself.

use {
    crate::forward::ResponseBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    std::time::Duration,
};

/// Why this host answers a request with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request lacks its id, or the key that a keyed service needs, or its body cannot be
    /// read.
    Malformed,
    /// Sent by another host, but without a valid proof of that.
    NotAuthentic,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the configured limit or the host's own.
    TooLarge,
    /// Not run: no configuration is known yet.
    NoConfiguration,
    /// Not run: no server can take the request at the moment.
    Unavailable,
    /// Not run: the servers, the retry budget or the memory for bodies are exhausted.
    Overloaded,
    /// Not run: the key has more requests than its owner can take.
    HotKey,
    /// Not run: the servers limit the rate of requests.
    Limited,
    /// Not run: servers have crashed under this request.
    Quarantined,
    /// Not run: the servers want no requests for a time.
    Paused,
    /// Not run: the remaining time is too short.
    TooLate,
    /// Not run: this host stops, and a server could no longer finish the request.
    Stopping,
    /// May have run: the server's response was lost or is invalid.
    AnswerLost,
    /// May have run: no response before the deadline.
    TimedOut,
}

impl Refusal {
    /// Name of the reason on the metrics page.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NotAuthentic => "not_authentic",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::NoConfiguration => "no_configuration",
            Self::Unavailable => "unavailable",
            Self::Overloaded => "overloaded",
            Self::HotKey => "hot_key",
            Self::Limited => "limited",
            Self::Quarantined => "quarantined",
            Self::Paused => "paused",
            Self::TooLate => "too_late",
            Self::Stopping => "stopping",
            Self::AnswerLost => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// HTTP status that the caller receives.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NotAuthentic => StatusCode::FORBIDDEN,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::Unavailable
            | Self::Overloaded
            | Self::HotKey
            | Self::Limited
            | Self::Quarantined
            | Self::Paused
            | Self::TooLate
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Builds the error response; `retry_after` is the time after which the caller may retry.
pub fn refusal_response(refusal: Refusal, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let text = match refusal {
        Refusal::Malformed => "the request is not well-formed",
        Refusal::NotAuthentic => "not sent by a host of this system",
        Refusal::NoRoute => "no route for this host and path",
        Refusal::TooLarge => "the body is too large",
        Refusal::NoConfiguration => "not run: no configuration yet",
        Refusal::Unavailable => "not run: no server available",
        Refusal::Overloaded => "not run: overloaded",
        Refusal::HotKey => "not run: too many requests for this key",
        Refusal::Limited => "not run: the server limits the rate of requests",
        Refusal::Quarantined => "not run: servers have crashed under this request",
        Refusal::Paused => "not run: the server wants no requests for a time",
        Refusal::TooLate => "not run: too little time left",
        Refusal::Stopping => "not run: the host stops",
        Refusal::AnswerLost => "the request may have run: its answer was lost",
        Refusal::TimedOut => "the request may have run: no answer in time",
    };
    let mut response = Response::new(ResponseBody::Buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = refusal.status();
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.2}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
