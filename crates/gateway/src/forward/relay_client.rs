//! Hands a request to another host, which sends it to a server in place of this one.

use {
    super::{
        CallRequest, ResponseBody,
        response_body::StreamedBody,
        server_call::{ReadBody, read_body},
    },
    crate::peers::{ELSEWHERE_HEADER, RELAY_HEADER, RelayGrant, RelayedHead},
    bytes::Bytes,
    camphorcove_core::time::BootTime,
    camphorcove_net::{
        clock::BootClock,
        http::{ExchangeError, HttpClient},
    },
    camphorcove_platform::{ResponseHead, decode_response, set_deadline},
    http::{HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait for a connection to another host: many round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which a connection to another host is idle and used again.
const IDLE_TIME_LIMIT: Duration = Duration::from_secs(2);

/// Part of the remaining time that is reserved for returning the response.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// How handing a request to another host ended.
#[derive(Debug)]
pub enum RelayOutcome {
    /// A server's response, through the other host.
    Answered(Response<ResponseBody>),
    /// Not run; the other host reaches no server either, stops, or was not reached.
    Elsewhere(String),
    /// Not run, for a reason that holds for other hosts as well; says when to come back.
    NotRun(Option<Duration>),
    /// The request may have run; no valid response arrived.
    Unknown(String),
    /// The request may have run; its time has passed.
    TimedOut,
}

/// Connections to other hosts.
#[derive(Clone, Debug)]
pub struct RelayClient {
    client: HttpClient,
}

impl Default for RelayClient {
    fn default() -> Self {
        let client = HttpClient::default()
            .with_connect_limit(CONNECT_TIMEOUT)
            .with_idle_time_limit(IDLE_TIME_LIMIT);
        Self { client }
    }
}

impl RelayClient {
    /// Hands a request to a host, which has to answer before `answer_by`.
    pub async fn send(
        &self,
        host: SocketAddr,
        call: &CallRequest,
        grant: RelayGrant,
        secret: &[u8],
        answer_by: BootTime,
    ) -> RelayOutcome {
        let time_left = answer_by.since(BootClock.now());
        let Some(request) = build_request(call, grant, secret, time_left) else {
            return RelayOutcome::Elsewhere("request cannot be built".into());
        };
        let begun = self.client.begin_exchange(host, request, time_left).await;
        let (response, connection) = match begun {
            Ok(begun) => begun,
            Err(ExchangeError::NotSent { reason }) => return RelayOutcome::Elsewhere(reason),
            Err(ExchangeError::NoReply { reason }) => {
                return match answer_by.since(BootClock.now()).is_zero() {
                    true => RelayOutcome::TimedOut,
                    false => RelayOutcome::Unknown(reason),
                };
            }
        };
        let head = decode_response(response.headers());
        if !head.signed {
            return refused(&head, &response);
        }
        if head.id.as_ref() != Some(&call.id) {
            return RelayOutcome::Unknown("answer to another request".into());
        }
        let (parts, body) = response.into_parts();
        let body = match timeout(answer_by.since(BootClock.now()), read_body(body)).await {
            Ok(Ok(ReadBody::Buffered(bytes))) => {
                if !head.closes_connection {
                    self.client.finish_response(host, connection);
                }
                ResponseBody::Buffered(bytes)
            }
            Ok(Ok(ReadBody::Partial(buffered, remaining))) => {
                let caller_time = call.caller_leaves_at.since(BootClock.now());
                ResponseBody::Streamed(Box::new(StreamedBody {
                    buffered,
                    remaining,
                    deadline: Box::pin(sleep(caller_time)),
                    permit: None,
                }))
            }
            Ok(Err(error)) => return RelayOutcome::Unknown(format!("answer broke off: {error}")),
            Err(_) => return RelayOutcome::TimedOut,
        };
        RelayOutcome::Answered(Response::from_parts(parts, body))
    }
}

/// What a response means that the other host has made itself. Its status tells whether the request
/// may have run, as for callers.
fn refused<B>(head: &ResponseHead, response: &Response<B>) -> RelayOutcome {
    let status = response.status();
    match status {
        StatusCode::BAD_GATEWAY => RelayOutcome::Unknown(format!("other host answered {status}")),
        StatusCode::GATEWAY_TIMEOUT => RelayOutcome::TimedOut,
        StatusCode::SERVICE_UNAVAILABLE if !response.headers().contains_key(ELSEWHERE_HEADER) => {
            RelayOutcome::NotRun(head.retry_after)
        }
        // Its configuration differs, or it does not take the request.
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            RelayOutcome::Elsewhere(format!("other host answered {status}"))
        }
        status => RelayOutcome::Unknown(format!("answer {status} without signature")),
    }
}

fn build_request(
    call: &CallRequest,
    grant: RelayGrant,
    secret: &[u8],
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let head = RelayedHead::of(&call.method, &call.target, &call.headers, Some(&call.id))?;
    let seal = HeaderValue::try_from(head.seal(secret, grant)).ok()?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.clone())
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(RELAY_HEADER, seal);
    set_deadline(
        request.headers_mut(),
        time_left.saturating_sub(RETURN_MARGIN),
    );
    Some(request)
}
