//! Handles requests of callers, health probes and clock probes.

use {
    super::{backend_state::BackendState, run_guard::RunGuard, run_ledger::RequestRecord},
    crate::http::{ConnectionAborted, Reply, json_reply, read_body, text_reply},
    bytes::Bytes,
    camphorcove_core::{headers, ids::ShardId},
    camphorcove_net::{clock::BootClock, platform::wire::query_value},
    http::{HeaderMap, HeaderValue, Request, StatusCode},
    hyper::body::Incoming,
    std::{
        str::FromStr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Largest response body served from a shared buffer, in bytes.
const SHARED_BODY_SIZE: usize = 1 << 20;

/// Answers a health probe with the server's report.
pub(super) async fn health(state: &BackendState) -> Reply {
    state.wait_while_frozen().await;
    let settings = state.settings();
    sleep(Duration::from_millis(settings.health_ms)).await;
    let ready = settings.false_ready.unwrap_or(!settings.draining);
    let mut reply = json_reply(&state.report());
    if !ready {
        *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    reply
}

/// Answers `OPTIONS *`, by which the router reads the server's clock from a header.
pub(super) async fn probe(state: &BackendState) -> Reply {
    state.wait_while_frozen().await;
    text_reply(StatusCode::OK, "")
}

pub(super) async fn route(
    state: &Arc<BackendState>,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    state.wait_while_frozen().await;
    let query = request.uri().query().map(str::to_owned);
    let entry = request_record(&request);
    let headers = request.headers().clone();
    let body = read_body(request).await?;
    state.wait_while_frozen().await;
    let mut reply = match admit(state, &headers, entry) {
        Ok(Admission::Run(guard)) => {
            run_work(state, query.as_deref()).await;
            guard.complete();
            run_reply(query.as_deref(), body)
        }
        Ok(Admission::Repeat) => text_reply(StatusCode::OK, "already ran"),
        Err(reason) => refusal(state, reason),
    };
    if let Some(id) = headers.get(headers::REQUEST_ID) {
        reply.headers_mut().insert(headers::REQUEST_ID, id.clone());
    }
    Ok(reply)
}

/// How to treat a request that is not refused.
enum Admission {
    Run(RunGuard),
    /// Answer without running: its idempotency key already ran.
    Repeat,
}

/// Decides whether to run a request; the error is the reason for a refusal.
fn admit(
    state: &Arc<BackendState>,
    headers: &HeaderMap,
    entry: RequestRecord,
) -> Result<Admission, &'static str> {
    let settings = state.settings();
    if settings.shed {
        return Err("shedding");
    }
    if settings.draining && entry.shard.is_none() {
        return Err("draining");
    }
    if is_past_deadline(state, headers) {
        return Err("past its deadline");
    }
    if !settings.unchecked {
        check_fence(state, &entry)?;
    }
    if settings.dedup && is_repeat(state, &entry) {
        return Ok(Admission::Repeat);
    }
    let guard = RunGuard::begin(state, entry).ok_or("no slot is free")?;
    Ok(Admission::Run(guard))
}

/// Whether the request's deadline, on the server's own clock, has passed.
pub(super) fn is_past_deadline(state: &BackendState, headers: &HeaderMap) -> bool {
    let deadline: Option<u64> = header(headers, headers::SERVER_DEADLINE);
    deadline.is_some_and(|deadline| state.clock().0 > deadline)
}

fn check_fence(state: &BackendState, entry: &RequestRecord) -> Result<(), &'static str> {
    let Some(shard) = entry.shard else {
        return Ok(());
    };
    let token = entry.token.ok_or("no token")?;
    let service = entry.service.as_deref().ok_or("no service")?;
    let mut content = state.lock();
    let table = content.grant_tables.get_mut(service).ok_or("no grant")?;
    table.check(ShardId(shard), token, BootClock.now())
}

fn is_repeat(state: &BackendState, entry: &RequestRecord) -> bool {
    let key = entry.idempotency_key.as_deref();
    key.is_some_and(|key| state.lock().ledger.has_run(key))
}

/// Sleeps for the service time of the request, scaled by speed and cold start.
async fn run_work(state: &BackendState, query: Option<&str>) {
    let settings = state.settings();
    let nominal = match number(query, "work_ms") {
        Some(millis) => Duration::from_millis(millis),
        None => Duration::from_micros(settings.service_us),
    };
    let started = state.lock().started;
    let cold = BootClock.now() < started + Duration::from_millis(settings.cold_ms);
    let span = settings.scaled(nominal, cold);
    if !span.is_zero() {
        sleep(span).await;
    }
    state.wait_while_frozen().await;
}

/// Reply to a request that ran. The query parameters `status` and `size` choose the
/// status and body size; by default, the request's body is echoed with status 200.
fn run_reply(query: Option<&str>, body: Bytes) -> Reply {
    let status = number(query, "status").and_then(|status| u16::try_from(status).ok());
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let body = match number(query, "size") {
        Some(size) => sized_body(usize::try_from(size).unwrap_or_default()),
        None => body,
    };
    text_reply(status.unwrap_or(StatusCode::OK), body)
}

fn sized_body(size: usize) -> Bytes {
    static SHARED: OnceLock<Bytes> = OnceLock::new();
    if size > SHARED_BODY_SIZE {
        return vec![b'x'; size].into();
    }
    let shared = SHARED.get_or_init(|| vec![b'x'; SHARED_BODY_SIZE].into());
    shared.slice(..size)
}

fn refusal(state: &BackendState, reason: &'static str) -> Reply {
    state.lock().stats.not_run += 1;
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, reason);
    let verdict = HeaderValue::from_static("not-run");
    reply.headers_mut().insert(headers::SERVER_VERDICT, verdict);
    reply
}

fn request_record(request: &Request<Incoming>) -> RequestRecord {
    let headers = request.headers();
    RequestRecord {
        request_id: header(headers, headers::REQUEST_ID),
        idempotency_key: header(headers, headers::IDEMPOTENCY_KEY),
        service: header(headers, headers::SERVER_SERVICE),
        shard: header(headers, headers::SERVER_SHARD),
        token: header(headers, headers::SERVER_TOKEN),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        started: BootClock.now(),
        ended: None,
        cancelled: false,
    }
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}
