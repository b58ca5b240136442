//! The platform's protocol.

use {
    super::{
        object_table::WriteCondition, platform_faults::PlatformFaults,
        platform_state::PlatformState,
    },
    crate::http::{ConnectionCut, Reply, json_reply, read_body, text_reply},
    bytes::Bytes,
    camphorcove_net::platform::{
        CallKind,
        wire::{
            HOSTS_PATH, LIST_PATH, OBJECT_PATH, VALUE_LIMIT, VERSION_HEADER, WATCH_PATH, WatchBody,
            decode, query_value,
        },
    },
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// Longest wait of a watch; longer ones are cut to it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

type Answer = Result<Reply, ConnectionCut>;

pub(super) async fn route(state: Arc<PlatformState>, request: Request<Incoming>) -> Answer {
    let Some(kind) = kind_of(&request) else {
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

fn kind_of(request: &Request<Incoming>) -> Option<CallKind> {
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

fn key_of(request: &Request<Incoming>) -> Option<String> {
    let key = decode(request.uri().path().strip_prefix(OBJECT_PATH)?)?;
    (!key.is_empty()).then_some(key)
}

fn get(state: &PlatformState, request: &Request<Incoming>) -> Reply {
    let Some(key) = key_of(request) else {
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
) -> Answer {
    let (Some(key), Some(condition)) = (key_of(&request), condition_of(&request)) else {
        return Ok(text_reply(
            StatusCode::BAD_REQUEST,
            "invalid key or condition",
        ));
    };
    // Read to the end before a rejection: closing early could reset the
    // connection and destroy the answer.
    let value = read_body(request).await?;
    if value.len() > VALUE_LIMIT {
        return Ok(text_reply(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MB"));
    }
    // A task of its own, so that a delayed write takes effect without its caller.
    let write = tokio::spawn(async move {
        delay(&faults).await;
        write(&state, &key, condition, value)
    });
    write.await.unwrap_or(Err(ConnectionCut))
}

fn condition_of(request: &Request<Incoming>) -> Option<WriteCondition> {
    let text = query_value(request.uri().query(), "if")?;
    if text == "absent" {
        return Some(WriteCondition::Absent);
    }
    text.parse().ok().map(WriteCondition::Version)
}

fn write(state: &PlatformState, key: &str, condition: WriteCondition, value: Bytes) -> Answer {
    let mut content = state.lock();
    let result = content.objects.put(key, condition, value);
    let lost = result.is_ok() && take_loss(&mut content.faults, key);
    drop(content);
    state.notify();
    match result {
        _ if lost => Err(ConnectionCut),
        Ok(version) => Ok(with_version(text_reply(StatusCode::OK, ""), version)),
        Err(Some(version)) => Ok(with_version(conflict_reply(), version)),
        Err(None) => Ok(conflict_reply()),
    }
}

/// Whether a write's answer is lost; uses up one of a counted number of losses.
fn take_loss(faults: &mut PlatformFaults, key: &str) -> bool {
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
    json_reply(&state.lock().readable().list(&prefix, 0))
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
        if !body.events.is_empty() {
            return json_reply(&body);
        }
        if !matches!(timeout_at(end, changes.changed()).await, Ok(Ok(()))) {
            return json_reply(&body);
        }
    }
}

/// Changes to report; `None` during an outage.
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
    json_reply(&content.hosts.shown(lag))
}
