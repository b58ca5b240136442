//! Sends requests as callers do.

use {
    crate::report::CallOutcome,
    bytes::Bytes,
    camphorcove_core::headers::{CALLER_TIMEOUT, EXECUTION, RESULT_CODE},
    camphorcove_net::http::{ExchangeError, HttpClient},
    http::{HeaderMap, Request, Response},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// What a caller waits beyond the timeout it names, so that the router answers first.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// A caller with kept connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    timeout: Duration,
}

impl Caller {
    /// Caller that keeps up to `connections` idle connections per address and
    /// waits up to `timeout` for an answer.
    pub fn new(connections: usize, timeout: Duration) -> Self {
        Self {
            client: HttpClient::with_idle_limit(connections),
            timeout,
        }
    }

    /// Sends a request and waits for its whole answer.
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

    /// Sends `GET target`.
    pub async fn get(&self, address: SocketAddr, target: &str) -> CallOutcome {
        match Request::get(target).body(Full::default()) {
            Ok(request) => self.call(address, request).await,
            Err(_) => CallOutcome::NotSent,
        }
    }
}

fn outcome_of(reply: &Response<Bytes>) -> CallOutcome {
    let headers = reply.headers();
    let code = text_of(headers, RESULT_CODE);
    CallOutcome::Reply {
        status: reply.status().as_u16(),
        code: code.and_then(|code| code.parse().ok()),
        execution: text_of(headers, EXECUTION).map(str::to_owned),
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
