//! HTTP client that sends requests as the router's callers do.

use {
    crate::report::CallOutcome,
    bytes::Bytes,
    camphorcove_core::headers::{CALLER_TIMEOUT, EXECUTION, RESULT_CODE},
    camphorcove_net::http::{ExchangeError, HttpClient},
    http::{HeaderMap, Request, Response},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// How much longer than the timeout named in the request the client waits, so that the
/// router's own timeout answer arrives first.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// HTTP client of a caller, with a pool of keep-alive connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    timeout: Duration,
}

impl Caller {
    /// Creates a client that keeps up to `connections` idle connections per address.
    /// `timeout` is the time in which the router must answer; it is sent with each request.
    pub fn new(connections: usize, timeout: Duration) -> Self {
        Self {
            client: HttpClient::with_idle_limit(connections),
            timeout,
        }
    }

    /// Sends a request and waits for its complete response, or for the timeout.
    pub async fn call(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> CallOutcome {
        let mut request = request;
        let millis = u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX);
        let headers = request.headers_mut();
        headers.insert(CALLER_TIMEOUT, millis.into());
        let limit = self.timeout + TIMEOUT_MARGIN;
        match self.client.exchange(address, request, limit).await {
            Ok(reply) => outcome_of(&reply),
            Err(ExchangeError::NotSent { .. }) => CallOutcome::NotSent,
            Err(ExchangeError::NoReply { .. }) => CallOutcome::NoReply,
        }
    }

    /// Sends a `GET` request for the path and query `target`.
    pub async fn get(&self, address: SocketAddr, target: &str) -> CallOutcome {
        match Request::get(target).body(Full::default()) {
            Ok(request) => self.call(address, request).await,
            Err(_) => CallOutcome::NotSent,
        }
    }
}

fn outcome_of(reply: &Response<Bytes>) -> CallOutcome {
    let headers = reply.headers();
    let code = header_text(headers, RESULT_CODE);
    CallOutcome::Reply {
        status: reply.status().as_u16(),
        code: code.and_then(|code| code.parse().ok()),
        execution: header_text(headers, EXECUTION).map(str::to_owned),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
