//! One request and its reply on a server's connection.

use {
    super::{
        ForwardPlan, Permit, RequestBody, RequestHead, RouterBody, hop_headers::strip_headers,
        server_connection::ServerConnection,
    },
    crate::context::RequestContext,
    camphorcove_core::{
        headers::{
            REQUEST_ID, SERVER_CLOCK, SERVER_DEADLINE, SERVER_SERVICE, SERVER_SHARD, SERVER_TOKEN,
            SERVER_VERDICT,
        },
        outcome::ResultCode,
        time::BootTime,
    },
    camphorcove_net::servers::{ServerClock, ServerTime},
    futures_util::FutureExt,
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version,
        header::TRANSFER_ENCODING,
    },
    http_body::Body,
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::TrySendError},
    std::{fmt::Display, net::SocketAddr, sync::atomic::Ordering::Relaxed, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Text of [`SERVER_VERDICT`] that proves that a request did not run.
const VERDICT_NOT_RUN: &str = "not-run";

/// A reading this fresh is kept, so that not every reply takes the table's write lock.
const CLOCK_REFRESH: Duration = Duration::from_millis(50);

/// An instant of the runtime's clock for an instant of the boot-time clock.
pub fn runtime_instant(context: &RequestContext, end: BootTime) -> Instant {
    Instant::now() + end.since(context.clock.now())
}

/// Binds a usable connection to the permit: the idle one, or a new one.
///
/// `false` if the server has closed the idle connection: nothing was sent, and
/// another permit brings another connection.
pub async fn ensure_connection(
    context: &RequestContext,
    permit: &mut Permit,
    address: SocketAddr,
    deadline: Instant,
) -> Result<bool, ResultCode> {
    if let Some(mut connection) = permit.take_connection() {
        let ready = timeout_at(deadline, connection.sender().ready()).await;
        let usable = matches!(ready, Ok(Ok(())));
        permit.bind(connection);
        return Ok(usable);
    }
    let token = permit.take_token().ok_or(ResultCode::ServerUnreachable)?;
    let opening = ServerConnection::open(address, token);
    let opened = timeout_at(deadline, opening).await;
    let connection = opened
        .map_err(|_| ResultCode::DeadlineTooShort)?
        .map_err(|error| {
            log::debug!("server {address}: {error}");
            ResultCode::ServerUnreachable
        })?;
    context.counters.server_connections.fetch_add(1, Relaxed);
    permit.bind(connection);
    Ok(true)
}

/// Asks a server for its clock.
///
/// The request is `OPTIONS *` with a deadline that has long passed: a server that
/// honours deadlines refuses it, and any other server has nothing to run for it.
pub async fn probe_clock(
    context: &RequestContext,
    permit: &mut Permit,
    server: SocketAddr,
    host: &HeaderValue,
    deadline: Instant,
) -> Result<(), ResultCode> {
    let request = Request::builder()
        .method(Method::OPTIONS)
        .uri("*")
        .header(http::header::HOST, host)
        .header(SERVER_DEADLINE, 0)
        .body(RequestBody::Empty)
        .map_err(|_| ResultCode::ClockUnknown)?;
    let connection = permit.connection().ok_or(ResultCode::ServerUnreachable)?;
    let reply = timeout_at(deadline, connection.sender().try_send_request(request)).await;
    let reply = reply
        .map_err(|_| ResultCode::DeadlineTooShort)?
        .map_err(|_| ResultCode::ServerUnreachable)?;
    note_clock(context, server, reply.headers());
    let body = timeout_at(deadline, reply.into_body().collect()).await;
    if !matches!(body, Ok(Ok(_))) {
        return Err(ResultCode::ServerUnreachable);
    }
    let ready = timeout_at(deadline, connection.sender().ready()).await;
    match ready {
        Ok(Ok(())) if context.clocks.latest(server).is_some() => Ok(()),
        Ok(Ok(())) => Err(ResultCode::ClockUnknown),
        _ => Err(ResultCode::ServerUnreachable),
    }
}

/// Headers that tell the server what the request is allowed to do.
pub fn stamp_headers(headers: &mut HeaderMap, plan: &ForwardPlan, end: Option<ServerTime>) {
    let envelope = &plan.envelope;
    insert(headers, SERVER_SERVICE, &envelope.service);
    insert(headers, REQUEST_ID, &envelope.request);
    if let Some(shard) = envelope.shard {
        insert(headers, SERVER_SHARD, &shard);
    }
    if let Some(token) = envelope.token {
        insert(headers, SERVER_TOKEN, &token);
    }
    if let Some(ServerTime(micros)) = end {
        insert(headers, SERVER_DEADLINE, &micros);
    }
}

/// Sends a request on the permit's connection and returns the head of the reply.
pub async fn exchange(
    context: &RequestContext,
    mut permit: Permit,
    plan: &ForwardPlan,
    server: SocketAddr,
    head: RequestHead,
    body: RequestBody,
) -> Result<Response<RouterBody>, ResultCode> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = Uri::from(head.path);
    *request.headers_mut() = head.headers;
    let deadline = runtime_instant(context, plan.deadline);
    let connection = permit.connection().ok_or(ResultCode::ServerUnreachable)?;
    plan.hand_over();
    let sending = connection.sender().try_send_request(request);
    let reply = match timeout_at(deadline, sending).await {
        Err(_) => return Err(ResultCode::DeadlinePassed),
        Ok(Err(error)) => return Err(send_failure(plan, error)),
        Ok(Ok(reply)) => reply,
    };
    note_clock(context, server, reply.headers());
    read_reply(context, permit, reply)
}

/// Code of a request that got no reply; proof of not running is a request handed back.
fn send_failure<B>(plan: &ForwardPlan, mut error: TrySendError<Request<B>>) -> ResultCode {
    log::debug!("request {}: {}", plan.envelope.request, error.error());
    if error.take_message().is_some() {
        plan.handed_over.store(false, Relaxed);
        return ResultCode::ServerUnreachable;
    }
    if error.error().is_parse() {
        return ResultCode::ReplyInvalid;
    }
    ResultCode::ReplyLost
}

fn read_reply(
    context: &RequestContext,
    permit: Permit,
    reply: Response<Incoming>,
) -> Result<Response<RouterBody>, ResultCode> {
    let (mut parts, body) = reply.into_parts();
    if says_not_run(&parts.headers) {
        keep_if_read(permit, body);
        return Err(ResultCode::ServerShed);
    }
    if parts.status == StatusCode::SWITCHING_PROTOCOLS || ends_with_connection(&parts, &body) {
        return Err(ResultCode::ReplyInvalid);
    }
    strip_headers(&mut parts.headers);
    parts.version = Version::default();
    parts.extensions.clear();
    let body = RouterBody::server(body, permit, context.counters.clone());
    Ok(Response::from_parts(parts, body))
}

fn says_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(SERVER_VERDICT)
        .is_some_and(|verdict| verdict.as_bytes() == VERDICT_NOT_RUN.as_bytes())
}

/// A body without a length that ends with the connection: a cut would look complete.
fn ends_with_connection(parts: &http::response::Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_none() && !parts.headers.contains_key(TRANSFER_ENCODING)
}

/// Keeps the connection if the rest of a refusal has already arrived.
fn keep_if_read(permit: Permit, body: Incoming) {
    if let Some(Ok(_)) = body.collect().now_or_never() {
        permit.complete();
    }
}

fn note_clock(context: &RequestContext, server: SocketAddr, headers: &HeaderMap) {
    let text = headers
        .get(SERVER_CLOCK)
        .and_then(|value| value.to_str().ok());
    let Some(micros) = text.and_then(|text| text.parse().ok()) else {
        return;
    };
    let now = context.clock.now();
    let latest = context.clocks.latest(server);
    if latest.is_some_and(|latest| now.since(latest.received_at) < CLOCK_REFRESH) {
        return;
    }
    let clock = ServerClock {
        reading: ServerTime(micros),
        received_at: now,
    };
    context.clocks.record(server, clock);
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &impl Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}
