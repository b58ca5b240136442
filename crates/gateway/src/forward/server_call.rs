//! One attempt of a request at one server.

use {
    super::{
        AnswerBody,
        answer_body::StreamedBody,
        server_pool::{PoolError, PooledConnection, ServerPool},
    },
    crate::state::ServerPermit,
    bytes::{Bytes, BytesMut},
    camphorcove_core::{dispatch::AnswerKind, fleet::ServerEntry, time::BootTime},
    camphorcove_net::clock::BootClock,
    camphorcove_platform::{AnswerHead, decode_answer, set_request_headers},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest answer that is read whole before it is passed on: a broken one can then
/// be repeated, or refused, instead of reaching the caller in part.
const WHOLE_BYTES: usize = 128 << 10;

/// Part of the time left that is kept for the way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Least time that is given to a server.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// What is sent; the same for every attempt.
#[derive(Debug)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: Uri,
    /// Headers without those of the caller's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub id: HeaderValue,
    /// When the caller's time or the route's limit ends.
    pub end: BootTime,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// The server answered.
    Answered(Response<AnswerBody>),
    /// The server states that it did not run the request.
    NotRun(StatusCode),
    /// Nothing was sent.
    NotSent(String),
    /// It was sent and may have run; there is no valid answer.
    Unknown(String),
    /// It was sent and may have run; another attempt has been allowed.
    Silent,
    /// It was sent and may have run; the time is over.
    TimedOut,
}

/// When an attempt may be abandoned before the request's deadline.
pub struct AttemptTimeout<'a> {
    /// Time to wait for the answer.
    pub span: Duration,
    /// Whether another attempt may follow; if so, it is counted as a retry.
    pub may_retry: &'a (dyn Fn() -> bool + Sync),
}

/// Sends the request to the server and reads its answer.
///
/// Without leave for another attempt, a slow server is awaited to the end.
pub async fn send_call(
    pool: &Arc<ServerPool>,
    entry: &ServerEntry,
    connections: u32,
    permit: ServerPermit,
    call: &CallRequest,
    attempt_timeout: Option<AttemptTimeout<'_>>,
) -> CallOutcome {
    let mut pooled = match pool.acquire(entry, connections).await {
        Ok(pooled) => pooled,
        Err(PoolError::Full) => {
            permit.end(AnswerKind::Abandoned, None);
            return CallOutcome::NotSent(PoolError::Full.to_string());
        }
        Err(end) => {
            permit.end(AnswerKind::Silent, None);
            pool.close_idle(&entry.id);
            return CallOutcome::NotSent(end.to_string());
        }
    };
    // Opening a connection takes time on a busy host; the server may have left meanwhile.
    if !pool.may_use(entry) {
        permit.end(AnswerKind::Abandoned, None);
        return CallOutcome::NotSent("server has left".into());
    }
    let now = BootClock.now();
    let left = call.end.since(now);
    let Some(request) = outgoing(call, entry, left) else {
        permit.end(AnswerKind::Abandoned, None);
        return CallOutcome::NotSent("request cannot be built".into());
    };
    let result = {
        let exchange = exchange(&mut pooled, request, call);
        tokio::pin!(exchange);
        let early = match attempt_timeout {
            Some(attempt_timeout) if attempt_timeout.span < left => {
                match timeout(attempt_timeout.span, &mut exchange).await {
                    Ok(result) => Some(result),
                    Err(_) if (attempt_timeout.may_retry)() => {
                        permit.end(AnswerKind::Silent, None);
                        return CallOutcome::Silent;
                    }
                    Err(_) => None,
                }
            }
            _ => None,
        };
        match early {
            Some(result) => result,
            None => {
                let rest = call.end.since(BootClock.now());
                match timeout(rest, exchange).await {
                    Ok(result) => result,
                    Err(_) => {
                        permit.end(AnswerKind::Abandoned, None);
                        return CallOutcome::TimedOut;
                    }
                }
            }
        }
    };
    match result {
        Ok(answer) => finish(pool, pooled, permit, answer),
        Err(Broken::NotSent(reason)) => {
            permit.end(AnswerKind::Abandoned, None);
            CallOutcome::NotSent(reason)
        }
        Err(Broken::Unknown(reason)) => {
            permit.end(AnswerKind::Failure, None);
            CallOutcome::Unknown(reason)
        }
    }
}

enum Broken {
    NotSent(String),
    Unknown(String),
}

struct ServerAnswer {
    head: AnswerHead,
    response: Response<()>,
    body: ReadBody,
}

enum ReadBody {
    Whole(Bytes),
    Longer(Bytes, Incoming),
}

fn outgoing(
    call: &CallRequest,
    entry: &ServerEntry,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.clone())
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    let given = left.saturating_sub(RETURN_MARGIN).max(LEAST_TIME);
    set_request_headers(request.headers_mut(), given, &entry.id);
    Some(request)
}

async fn exchange(
    pooled: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    call: &CallRequest,
) -> Result<ServerAnswer, Broken> {
    let response = match pooled.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut failure) => {
            // hyper hands the request back only if it was never taken for sending.
            let unsent = failure.take_message().is_some();
            let reason = failure.into_error().to_string();
            return Err(match unsent {
                true => Broken::NotSent(reason),
                false => Broken::Unknown(reason),
            });
        }
    };
    let head = decode_answer(response.headers());
    let status = response.status();
    match &head.id {
        Some(id) if *id == call.id => {}
        None if head.not_run || status == StatusCode::MISDIRECTED_REQUEST => {}
        _ => return Err(Broken::Unknown("answer to another request".into())),
    }
    if !head.signed && !head.not_run && status != StatusCode::MISDIRECTED_REQUEST {
        return Err(Broken::Unknown(format!(
            "answer {status} without signature"
        )));
    }
    let (parts, body) = response.into_parts();
    let response = Response::from_parts(parts, ());
    let body = read_body(body)
        .await
        .map_err(|error| Broken::Unknown(format!("answer broke off: {error}")))?;
    Ok(ServerAnswer {
        head,
        response,
        body,
    })
}

async fn read_body(mut body: Incoming) -> Result<ReadBody, hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() >= WHOLE_BYTES {
            return Ok(ReadBody::Longer(bytes.freeze(), body));
        }
    }
    Ok(ReadBody::Whole(bytes.freeze()))
}

fn finish(
    pool: &Arc<ServerPool>,
    pooled: PooledConnection,
    permit: ServerPermit,
    answer: ServerAnswer,
) -> CallOutcome {
    let ServerAnswer {
        head,
        response,
        body,
    } = answer;
    let status = response.status();
    let not_run = head.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    let kind = match status {
        _ if not_run => AnswerKind::Refused,
        status if status.is_server_error() => AnswerKind::Failure,
        _ => AnswerKind::Success,
    };
    let body = match body {
        ReadBody::Whole(bytes) => {
            permit.end(kind, head.load);
            if !head.closes {
                pool.put_back(pooled, head.idle_limit);
            }
            AnswerBody::Whole(bytes)
        }
        ReadBody::Longer(start, rest) => AnswerBody::Streamed(Box::new(StreamedBody {
            start,
            rest,
            permit: Some(permit),
        })),
    };
    if not_run {
        return CallOutcome::NotRun(status);
    }
    CallOutcome::Answered(response.map(|()| body))
}
