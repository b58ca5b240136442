//! Serves the platform protocol: objects, lists, watches and the host list.

use {
    super::{
        object_table::WriteCondition, platform_faults::PlatformFaults,
        platform_state::PlatformState,
    },
    crate::http::{ConnectionAborted, Reply, json_reply, read_body, text_reply},
    bytes::Bytes,
    camphorcove_net::{
        http::percent::decode_text,
        platform::{
            CallKind,
            wire::{
                HOSTS_PATH, LIST_PATH, OBJECT_PATH, VALUE_LIMIT, VERSION_HEADER, WATCH_PATH,
                WatchBody, query_value,
            },
        },
    },
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// Maximum wait of a watch; longer waits are reduced to it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

type RouteResult = Result<Reply, ConnectionAborted>;

pub(super) async fn route(state: Arc<PlatformState>, request: Request<Incoming>) -> RouteResult {
    let Some(kind) = call_kind(&request) else {
        return Ok(text_reply(StatusCode::BAD_REQUEST, "no such call"));
    };
    state.calls.add_call(kind);
    let faults = state.faults();
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.outage {
        return Ok(outage_reply());
    }
    if kind == CallKind::Put {
        return put(state, request, faults).await;
    }
    delay(&faults).await;
    match kind {
        CallKind::List => Ok(list(&state, &request)),
        CallKind::Watch => Ok(watch(&state, &request).await),
        CallKind::Hosts => Ok(hosts(&state)),
        CallKind::Get | CallKind::Put => Ok(get(&state, &request)),
    }
}

fn call_kind(request: &Request<Incoming>) -> Option<CallKind> {
    let path = request.uri().path();
    let is_object = path.starts_with(OBJECT_PATH);
    match *request.method() {
        Method::GET if is_object => Some(CallKind::Get),
        Method::PUT if is_object => Some(CallKind::Put),
        Method::GET if path == LIST_PATH => Some(CallKind::List),
        Method::GET if path == WATCH_PATH => Some(CallKind::Watch),
        Method::GET if path == HOSTS_PATH => Some(CallKind::Hosts),
        _ => None,
    }
}

async fn delay(faults: &PlatformFaults) {
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
}

fn outage_reply() -> Reply {
    text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

fn request_key(request: &Request<Incoming>) -> Option<String> {
    let key = decode_text(request.uri().path().strip_prefix(OBJECT_PATH)?)?;
    (!key.is_empty()).then_some(key)
}

fn get(state: &PlatformState, request: &Request<Incoming>) -> Reply {
    let Some(key) = request_key(request) else {
        return text_reply(StatusCode::BAD_REQUEST, "invalid key");
    };
    match state.lock().readable().get(&key) {
        Some((version, value)) => {
            let reply = text_reply(StatusCode::OK, value.clone());
            with_version(reply, *version)
        }
        None => text_reply(StatusCode::NOT_FOUND, "no such object"),
    }
}

async fn put(
    state: Arc<PlatformState>,
    request: Request<Incoming>,
    faults: PlatformFaults,
) -> RouteResult {
    let (Some(key), Some(condition)) = (request_key(&request), write_condition(&request)) else {
        return Ok(text_reply(
            StatusCode::BAD_REQUEST,
            "invalid key or condition",
        ));
    };
    // Read the whole body before a rejection: closing the connection with unread
    // data could reset it, and the client would lose the response.
    let value = read_body(request).await?;
    if value.len() > VALUE_LIMIT {
        return Ok(text_reply(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MB"));
    }
    // Run as a separate task, so that a delayed write takes effect even if the
    // client disconnects.
    let write = tokio::spawn(async move {
        delay(&faults).await;
        write(&state, &key, condition, value)
    });
    write.await.unwrap_or(Err(ConnectionAborted))
}

fn write_condition(request: &Request<Incoming>) -> Option<WriteCondition> {
    let text = query_value(request.uri().query(), "if")?;
    if text == "absent" {
        return Some(WriteCondition::Absent);
    }
    text.parse().ok().map(WriteCondition::Version)
}

fn write(state: &PlatformState, key: &str, condition: WriteCondition, value: Bytes) -> RouteResult {
    let mut content = state.lock();
    let result = content.objects.put(key, condition, value);
    let lost = result.is_ok() && consume_answer_loss(&mut content.faults, key);
    drop(content);
    state.notify();
    match result {
        _ if lost => Err(ConnectionAborted),
        Ok(version) => Ok(with_version(text_reply(StatusCode::OK, ""), version)),
        Err(Some(version)) => Ok(with_version(conflict_reply(), version)),
        Err(None) => Ok(conflict_reply()),
    }
}

/// Whether to drop the response to a write. Decrements `lose_answers` if it is set.
fn consume_answer_loss(faults: &mut PlatformFaults, key: &str) -> bool {
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return true;
    }
    let prefix = faults.lose_answers_prefix.as_deref();
    prefix.is_some_and(|prefix| key.starts_with(prefix))
}

fn conflict_reply() -> Reply {
    text_reply(StatusCode::CONFLICT, "version differs")
}

fn with_version(mut reply: Reply, version: u64) -> Reply {
    reply.headers_mut().insert(VERSION_HEADER, version.into());
    reply
}

fn list(state: &PlatformState, request: &Request<Incoming>) -> Reply {
    let prefix = query_value(request.uri().query(), "prefix").unwrap_or_default();
    let content = state.lock();
    let keys = content.readable().list(&prefix, 0);
    json_reply(&with_odd_parts(json!(keys), &content.faults))
}

async fn watch(state: &PlatformState, request: &Request<Incoming>) -> Reply {
    let query = request.uri().query();
    let prefix = query_value(query, "prefix").unwrap_or_default();
    let position = number(query, "position");
    let wait = Duration::from_millis(number(query, "wait_ms")).min(WAIT_LIMIT);
    let end = Instant::now() + wait;
    let mut changes = state.subscribe();
    loop {
        changes.borrow_and_update();
        let Some(body) = changes_after(state, &prefix, position) else {
            return outage_reply();
        };
        let has_events = !body.events.is_empty();
        if has_events || !matches!(timeout_at(end, changes.changed()).await, Ok(Ok(()))) {
            let events = with_odd_parts(json!(body.events), &state.faults());
            return json_reply(&json!({"position": body.position, "events": events}));
        }
    }
}

/// Changes to report to a watch; `None` during an outage.
fn changes_after(state: &PlatformState, prefix: &str, position: u64) -> Option<WatchBody> {
    let content = state.lock();
    if content.faults.outage {
        return None;
    }
    if content.faults.silent_watches {
        let events = Vec::new();
        return Some(WatchBody { position, events });
    }
    Some(WatchBody {
        position: content.objects.position(),
        events: content.objects.list(prefix, position),
    })
}

fn number(query: Option<&str>, name: &str) -> u64 {
    let text = query_value(query, name);
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn hosts(state: &PlatformState) -> Reply {
    let content = state.lock();
    let lag = Duration::from_millis(content.faults.host_lag_ms);
    let hosts = json!(content.hosts.delayed(lag));
    json_reply(&with_odd_parts(hosts, &content.faults))
}

/// The list with the odd parts before and after its own.
fn with_odd_parts(list: Value, faults: &PlatformFaults) -> Value {
    let Value::Array(parts) = list else {
        return list;
    };
    let odd = || faults.odd_parts.iter().cloned();
    odd().chain(parts).chain(odd()).collect()
}
