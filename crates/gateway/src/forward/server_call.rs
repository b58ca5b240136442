//! Sends one attempt of a request to one server.

use {
    super::{
        ResponseBody,
        connection_pool::{ConnectionPool, PoolError, PooledConnection},
        response_body::StreamedBody,
    },
    crate::state::ServerPermit,
    bytes::{Bytes, BytesMut},
    camphorcove_core::{dispatch::RequestOutcome, fleet::ServerEntry, time::BootTime},
    camphorcove_net::{clock::BootClock, http::has_other_coding},
    camphorcove_platform::{ResponseHead, decode_response, set_request_headers},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Responses shorter than this are read completely before they are forwarded: if one is
/// truncated, the request can be retried or refused instead of sending the caller a part.
const BUFFERED_RESPONSE_BYTES: usize = 128 << 10;

/// Part of the remaining time that is reserved for returning the response to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Shortest deadline that is sent to a server.
const MIN_SERVER_TIME: Duration = Duration::from_millis(5);

/// A request to be forwarded; the same for every attempt.
#[derive(Debug)]
pub struct CallRequest {
    /// HTTP method as the caller sent it.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: Uri,
    /// Headers without hop-by-hop headers, `Content-Length` and `Expect`.
    pub headers: HeaderMap,
    /// Complete body, read before the first attempt.
    pub body: Bytes,
    /// Request id that the caller sent; the response must carry the same one.
    pub id: HeaderValue,
    /// When the caller's deadline or the route's time limit passes, whichever is first.
    pub expires_at: BootTime,
    /// When the caller stops waiting; a response that has begun may go on until then.
    pub caller_leaves_at: BootTime,
}

/// Server that an attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget<'a> {
    /// Registration entry of the server.
    pub entry: &'a ServerEntry,
    /// Number of connections that the server accepts from all hosts together.
    pub max_connections: u32,
    /// Time from which the request is not sent any more, although a connection is open by then.
    pub send_until: Option<BootTime>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// The server sent a valid response.
    Answered(Response<ResponseBody>),
    /// The server states that it did not run the request.
    NotRun(StatusCode),
    /// No part of the request was sent, for the given reason.
    NotSent(String),
    /// The request was sent and may have run; no valid response arrived, for the given
    /// reason.
    Unknown(String),
    /// The same; the server ended the connection before the response was complete.
    ConnectionLost(String),
    /// The request was sent and may have run; the attempt timed out and a retry is allowed.
    AbandonedForRetry,
    /// The request was sent and may have run; its deadline passed.
    TimedOut,
}

/// Condition for abandoning an attempt before the request's deadline.
pub struct AttemptTimeout<'a> {
    /// How long to wait for the response.
    pub duration: Duration,
    /// What the silence tells about the server.
    pub outcome: RequestOutcome,
    /// Returns whether a retry is allowed and, if so, counts it against the retry budget.
    pub may_retry: &'a (dyn Fn() -> bool + Sync),
}

/// Sends the request to the server and reads its response.
///
/// Without an attempt timeout, or if it does not allow a retry, a slow server is awaited until
/// the request's deadline.
pub async fn send_call(
    pool: &Arc<ConnectionPool>,
    target: CallTarget<'_>,
    permit: ServerPermit,
    call: &CallRequest,
    attempt_timeout: Option<AttemptTimeout<'_>>,
) -> CallOutcome {
    let entry = target.entry;
    let mut pooled = match pool.acquire(target, &call.id).await {
        Ok(pooled) => pooled,
        Err(PoolError::Full) => {
            permit.end(RequestOutcome::Abandoned, None);
            return CallOutcome::NotSent(PoolError::Full.to_string());
        }
        Err(rejected @ PoolError::Rejected { .. }) => {
            permit.end(RequestOutcome::Refused, None);
            return CallOutcome::NotSent(rejected.to_string());
        }
        Err(pool_error) => {
            permit.end(RequestOutcome::Unresponsive, None);
            pool.close_idle(&entry.id);
            return CallOutcome::NotSent(pool_error.to_string());
        }
    };
    // Opening a connection takes time on a busy host; the server may have become unusable
    // meanwhile.
    if !pool.may_use(entry) {
        permit.end(RequestOutcome::Abandoned, None);
        return CallOutcome::NotSent("server takes no more requests".into());
    }
    let now = BootClock.now();
    if target.send_until.is_some_and(|end| now >= end) {
        permit.end(RequestOutcome::Abandoned, None);
        return CallOutcome::NotSent("host stops".into());
    }
    let time_left = call.expires_at.since(now);
    let Some(request) = build_request(call, entry, time_left) else {
        permit.end(RequestOutcome::Abandoned, None);
        return CallOutcome::NotSent("request cannot be built".into());
    };
    let result = {
        let exchange = exchange(pool, &mut pooled, entry, request, call);
        tokio::pin!(exchange);
        let early = match attempt_timeout {
            Some(attempt_timeout) if attempt_timeout.duration < time_left => {
                match timeout(attempt_timeout.duration, &mut exchange).await {
                    Ok(result) => Some(result),
                    Err(_) if (attempt_timeout.may_retry)() => {
                        pool.record_silence(entry);
                        permit.end(attempt_timeout.outcome, None);
                        return CallOutcome::AbandonedForRetry;
                    }
                    Err(_) => None,
                }
            }
            _ => None,
        };
        match early {
            Some(result) => result,
            None => {
                let remaining = call.expires_at.since(BootClock.now());
                match timeout(remaining, exchange).await {
                    Ok(result) => result,
                    Err(_) => {
                        pool.record_silence(entry);
                        permit.end(RequestOutcome::Abandoned, None);
                        return CallOutcome::TimedOut;
                    }
                }
            }
        }
    };
    match result {
        Ok(received) => complete_call(pool, pooled, permit, received, call.caller_leaves_at),
        Err(ExchangeFailure::NotSent(reason)) => {
            permit.end(RequestOutcome::Abandoned, None);
            CallOutcome::NotSent(reason)
        }
        Err(ExchangeFailure::Unknown(reason)) => {
            permit.end(RequestOutcome::Failure, None);
            CallOutcome::Unknown(reason)
        }
        Err(ExchangeFailure::ConnectionLost(reason)) => {
            pool.record_lost(&pooled);
            permit.end(RequestOutcome::Failure, None);
            CallOutcome::ConnectionLost(reason)
        }
    }
}

/// Why an exchange gave no valid response, and whether the request may have run.
enum ExchangeFailure {
    NotSent(String),
    Unknown(String),
    ConnectionLost(String),
}

struct ServerResponse {
    head: ResponseHead,
    response: Response<()>,
    body: ReadBody,
}

/// Body of a response: complete, or its first bytes and the part not yet read.
pub(super) enum ReadBody {
    Buffered(Bytes),
    Partial(Bytes, Incoming),
}

fn build_request(
    call: &CallRequest,
    entry: &ServerEntry,
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.clone())
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    let server_time = time_left.saturating_sub(RETURN_MARGIN).max(MIN_SERVER_TIME);
    set_request_headers(request.headers_mut(), server_time, &entry.id);
    Some(request)
}

/// Sends the request, validates the response's headers and reads the start of its body.
async fn exchange(
    pool: &ConnectionPool,
    pooled: &mut PooledConnection,
    entry: &ServerEntry,
    request: Request<Full<Bytes>>,
    call: &CallRequest,
) -> Result<ServerResponse, ExchangeFailure> {
    let head = pooled.sender.try_send_request(request);
    let response = match pooled.head_limit.apply(head).await {
        Ok(response) => response,
        Err(mut failure) => {
            // hyper returns the request only if it never started to send it.
            let unsent = failure.take_message().is_some();
            let error = failure.into_error();
            let reason = error.to_string();
            return Err(match unsent {
                true => ExchangeFailure::NotSent(reason),
                false if error.is_parse() || pooled.head_limit.is_exceeded() => {
                    ExchangeFailure::Unknown(reason)
                }
                false => ExchangeFailure::ConnectionLost(reason),
            });
        }
    };
    pool.record_answer();
    let head = decode_response(response.headers());
    let status = response.status();
    match &head.id {
        Some(id) if *id == call.id => {}
        // Behind another answer, it may be an additional one that belongs to no request.
        None if is_refusal(&head, status) && pooled.is_new() => {}
        _ => return Err(ExchangeFailure::Unknown("answer to another request".into())),
    }
    if !head.signed && !is_refusal(&head, status) {
        return Err(ExchangeFailure::Unknown(format!(
            "answer {status} without signature"
        )));
    }
    let is_unreadable = status.is_informational() || has_other_coding(response.headers());
    if is_unreadable && !is_refusal(&head, status) {
        return Err(ExchangeFailure::Unknown(format!(
            "answer {status} in another protocol or coding"
        )));
    }
    // The body may come late or break off.
    pool.record_hints(entry, status, &head);
    let (parts, body) = response.into_parts();
    let response = Response::from_parts(parts, ());
    let body = read_body(body)
        .await
        .map_err(|error| ExchangeFailure::ConnectionLost(format!("answer broke off: {error}")))?;
    Ok(ServerResponse {
        head,
        response,
        body,
    })
}

/// Whether the server states that it did not run the request.
fn is_refusal(head: &ResponseHead, status: StatusCode) -> bool {
    head.not_run || status == StatusCode::MISDIRECTED_REQUEST
}

pub(super) async fn read_body(mut body: Incoming) -> Result<ReadBody, hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() >= BUFFERED_RESPONSE_BYTES {
            return Ok(ReadBody::Partial(bytes.freeze(), body));
        }
    }
    Ok(ReadBody::Buffered(bytes.freeze()))
}

fn complete_call(
    pool: &Arc<ConnectionPool>,
    mut pooled: PooledConnection,
    permit: ServerPermit,
    received: ServerResponse,
    caller_leaves_at: BootTime,
) -> CallOutcome {
    let ServerResponse {
        head,
        response,
        body,
    } = received;
    permit.record_limit(head.limit);
    let status = response.status();
    let not_run = is_refusal(&head, status);
    let outcome = match status {
        _ if not_run => RequestOutcome::Refused,
        status if status.is_server_error() => RequestOutcome::Failure,
        _ => RequestOutcome::Success,
    };
    let body = match body {
        ReadBody::Buffered(bytes) => {
            permit.end(outcome, head.load);
            // A server that names no ids in refusals could not refuse another request on this
            // connection, as that refusal would not be believed.
            let names_id = head.id.is_some();
            if let Some(id) = head.id.filter(|_| not_run) {
                pooled.refusals.record(&id);
            }
            if names_id && !head.closes_connection {
                pool.release(pooled, head.idle_timeout);
            }
            ResponseBody::Buffered(bytes)
        }
        ReadBody::Partial(buffered, remaining) => ResponseBody::Streamed(Box::new(StreamedBody {
            buffered,
            remaining,
            deadline: Box::pin(sleep(caller_leaves_at.since(BootClock.now()))),
            permit: Some(permit),
        })),
    };
    if not_run {
        return CallOutcome::NotRun(status);
    }
    CallOutcome::Answered(response.map(|()| body))
}
