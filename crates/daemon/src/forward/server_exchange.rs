//! Exchange of one request and its reply on a server's connection.

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
    camphorcove_net::{
        http::ends_with_connection,
        servers::{ServerClock, ServerTime},
    },
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version},
    http_body_util::{BodyExt, Limited},
    hyper::{body::Incoming, client::conn::TrySendError},
    std::{fmt::Display, net::SocketAddr, sync::atomic::Ordering::Relaxed, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Value of [`SERVER_VERDICT`] by which a server states that it did not run the request.
const VERDICT_NOT_RUN: &str = "not-run";

/// Age up to which a clock reading is not replaced, so that not every reply takes the table's
/// write lock.
const CLOCK_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of the body of a reply from which only the server's clock is read, in bytes: a server that
/// does not know the request may explain that.
const CLOCK_REPLY_LIMIT: usize = 16 << 10;

/// Converts a time of the boot-time clock to an instant of the runtime's clock.
pub fn runtime_instant(context: &RequestContext, end: BootTime) -> Instant {
    Instant::now() + end.since(context.clock.now())
}

/// Binds the permit's idle connection to it, or a new connection if it has none.
///
/// Returns `false` if the server has closed the idle connection. Nothing was sent then, so
/// the request can be tried again with another permit, which brings another connection.
pub async fn ensure_connection(
    context: &RequestContext,
    permit: &mut Permit,
    address: SocketAddr,
    deadline: Instant,
) -> Result<bool, ResultCode> {
    if let Some(mut connection) = permit.take_connection() {
        let ready = timeout_at(deadline, connection.ready()).await;
        let usable = matches!(ready, Ok(Ok(())));
        permit.bind(connection);
        return Ok(usable);
    }
    let token = permit.take_token().ok_or(ResultCode::ServerUnreachable)?;
    let connecting = ServerConnection::open(address, token);
    let connected = timeout_at(deadline, connecting).await;
    let connection = connected
        .map_err(|_| ResultCode::DeadlineTooShort)?
        .map_err(|error| {
            log::debug!("connecting to server {address} failed: {error}");
            ResultCode::ServerUnreachable
        })?;
    context.counters.server_connections.fetch_add(1, Relaxed);
    permit.bind(connection);
    Ok(true)
}

/// Reads a server's clock by a request that has no effect.
///
/// The request is `OPTIONS *` with a deadline in the past: a server that honours deadlines
/// refuses it, and any other server has nothing to run for it.
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
    let reply = timeout_at(deadline, connection.send(request)).await;
    let reply = reply
        .map_err(|_| ResultCode::DeadlineTooShort)?
        .map_err(|_| ResultCode::ServerUnreachable)?;
    record_clock(context, server, reply.headers());
    let body = Limited::new(reply.into_body(), CLOCK_REPLY_LIMIT);
    let body = timeout_at(deadline, body.collect()).await;
    if !matches!(body, Ok(Ok(_))) {
        return Err(ResultCode::ServerUnreachable);
    }
    let ready = timeout_at(deadline, connection.ready()).await;
    match ready {
        Ok(Ok(())) if context.clocks.latest(server).is_some() => Ok(()),
        Ok(Ok(())) => Err(ResultCode::ClockUnknown),
        _ => Err(ResultCode::ServerUnreachable),
    }
}

/// Adds the router's headers for the server: service, request id, shard, ownership token, and
/// the deadline on the server's clock.
pub fn set_server_headers(headers: &mut HeaderMap, plan: &ForwardPlan, end: Option<ServerTime>) {
    let envelope = &plan.envelope;
    insert(headers, SERVER_SERVICE, &envelope.service);
    insert(headers, REQUEST_ID, &envelope.request_id);
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

/// Sends a request on the permit's connection and returns the reply once its head has arrived.
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
    plan.mark_sent();
    let sending = connection.send(request);
    let reply = match timeout_at(deadline, sending).await {
        Err(_) => return Err(ResultCode::DeadlinePassed),
        Ok(Err(error)) => return Err(send_failure(plan, error)),
        Ok(Ok(reply)) => reply,
    };
    record_clock(context, server, reply.headers());
    read_reply(context, permit, reply)
}

/// Result code of a request that got no valid reply.
///
/// The HTTP client hands back a request of which it has sent nothing, which proves that the
/// request did not run.
fn send_failure<B>(plan: &ForwardPlan, mut error: TrySendError<Request<B>>) -> ResultCode {
    log::debug!(
        "request {} got no valid reply: {}",
        plan.envelope.request_id,
        error.error()
    );
    if error.take_message().is_some() {
        plan.maybe_sent.store(false, Relaxed);
        return ResultCode::ServerUnreachable;
    }
    if error.error().is_parse() {
        return ResultCode::ReplyInvalid;
    }
    ResultCode::ReplyLost
}

/// Checks the head of a reply and wraps its body.
fn read_reply(
    context: &RequestContext,
    permit: Permit,
    reply: Response<Incoming>,
) -> Result<Response<RouterBody>, ResultCode> {
    if reports_not_run(reply.headers()) {
        // Dropping the permit closes the connection. Replies name no request, so a copy of this
        // one, which a server in trouble may write later, would answer the next request.
        drop(permit);
        return Err(ResultCode::ServerShed);
    }
    if reply.status() == StatusCode::SWITCHING_PROTOCOLS || ends_with_connection(&reply) {
        return Err(ResultCode::ReplyInvalid);
    }
    let (mut parts, body) = reply.into_parts();
    strip_headers(&mut parts.headers);
    parts.version = Version::default();
    parts.extensions.clear();
    let body = RouterBody::server(body, permit, context.counters.clone());
    Ok(Response::from_parts(parts, body))
}

fn reports_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(SERVER_VERDICT)
        .is_some_and(|verdict| verdict.as_bytes() == VERDICT_NOT_RUN.as_bytes())
}

/// Records the clock reading of a reply, unless the latest one is recent.
fn record_clock(context: &RequestContext, server: SocketAddr, headers: &HeaderMap) {
    let text = headers
        .get(SERVER_CLOCK)
        .and_then(|value| value.to_str().ok());
    let Some(micros) = text.and_then(|text| text.parse().ok()) else {
        return;
    };
    let now = context.clock.now();
    let latest = context.clocks.latest(server);
    if latest.is_some_and(|latest| now.since(latest.received_at) < CLOCK_REFRESH_INTERVAL) {
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
