//! Checks of a caller's request before it is routed.

use {
    super::{
        ServiceIndex, ServiceRule,
        key_extract::{extract_key, has_dot_segment},
    },
    crate::{
        context::RequestContext,
        forward::{CallerBody, RequestBody, RequestHead, single, strip_framing, strip_headers},
    },
    camphorcove_core::{
        conf::{DedupMode, RoutingMode},
        headers::{CALLER_TIMEOUT, IDEMPOTENCY_KEY, REQUEST_ID},
        ids::RequestId,
        outcome::ResultCode,
        time::BootTime,
    },
    http::{
        HeaderMap, HeaderValue, Method, Request, Version,
        header::{CONTENT_LENGTH, COOKIE, HOST, TRANSFER_ENCODING},
        request::Parts,
        uri::PathAndQuery,
    },
    http_body::Body,
    hyper::body::Incoming,
    std::{
        sync::Arc,
        sync::atomic::{AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// Longest accepted idempotency key, in bytes.
const IDEMPOTENCY_LIMIT: usize = 256;

/// A caller's request that passed all checks.
#[derive(Debug)]
pub struct EntryRequest {
    /// Its service.
    pub rule: Arc<ServiceRule>,
    /// Its key, for a keyed service.
    pub key: Option<Vec<u8>>,
    /// Its deadline.
    pub deadline: BootTime,
    /// Id for logs.
    pub request: RequestId,
    /// Idempotency key that the router itself must recognise.
    pub idempotency: Option<String>,
    /// Head for the server.
    pub head: RequestHead,
    /// Body; `None` if there is none.
    pub body: Option<CallerBody>,
}

impl EntryRequest {
    /// Body for the next attempt; `None` if it cannot be sent again.
    pub fn lease_body(&self) -> Option<RequestBody> {
        match &self.body {
            None => Some(RequestBody::Empty),
            Some(body) => body.lease().map(RequestBody::Caller),
        }
    }

    /// Why the caller's body broke off, if it did.
    pub fn body_fault(&self) -> Option<ResultCode> {
        self.body.as_ref().and_then(CallerBody::fault)
    }
}

/// Checks a request and takes from it what routing needs.
pub fn check_request(
    context: &RequestContext,
    index: &ServiceIndex,
    serial: &AtomicU64,
    request: Request<Incoming>,
) -> Result<EntryRequest, ResultCode> {
    let (mut parts, incoming) = request.into_parts();
    check_protocol(&parts)?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or(ResultCode::BadRequest)?;
    if has_dot_segment(path.path()) {
        return Err(ResultCode::BadRequest);
    }
    let host = host_of(&parts)?;
    let rule = index
        .find(context, host.as_deref(), path.path())
        .ok_or(ResultCode::NoService)?;
    let limits = &rule.config.limits;
    if head_bytes(&parts.headers, &path) > u64::from(limits.max_header) {
        return Err(ResultCode::HeadTooLarge);
    }
    if incoming.size_hint().lower() > limits.max_body {
        return Err(ResultCode::BodyTooLarge);
    }
    let wait = caller_timeout(&rule, &parts.headers)?;
    let key = request_key(&rule, &path, &parts.headers)?;
    let idempotency = idempotency_key(&rule, &parts.headers)?;
    let request = request_id(context, serial, &parts.headers);
    let body = (!incoming.is_end_stream()).then(|| CallerBody::new(incoming, limits.max_body));
    strip_headers(&mut parts.headers);
    strip_framing(&mut parts.headers);
    join_cookies(&mut parts.headers);
    if let Some(host) = host.and_then(|host| HeaderValue::from_str(&host).ok()) {
        parts.headers.insert(HOST, host);
    }
    Ok(EntryRequest {
        key,
        deadline: context.clock.now() + wait,
        request,
        idempotency,
        head: RequestHead {
            method: parts.method,
            path,
            headers: parts.headers,
        },
        body,
        rule,
    })
}

fn check_protocol(parts: &Parts) -> Result<(), ResultCode> {
    // A response of unknown length to HTTP/1.0 ends with the connection, so the
    // caller could not tell an aborted response from a complete one.
    if parts.version < Version::HTTP_11 {
        return Err(ResultCode::VersionUnsupported);
    }
    let refused = parts.method == Method::CONNECT || parts.method == Method::TRACE;
    let both =
        parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING);
    if refused || both || parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(ResultCode::BadRequest);
    }
    Ok(())
}

/// Authority of the request; an absolute target and a different `Host` are ambiguous.
fn host_of(parts: &Parts) -> Result<Option<String>, ResultCode> {
    let header = single(&parts.headers, HOST.as_str())?;
    let header = header.map(HeaderValue::to_str).transpose();
    let header = header.map_err(|_| ResultCode::BadRequest)?;
    let target = parts.uri.authority().map(http::uri::Authority::as_str);
    match (target, header) {
        (Some(target), Some(header)) if !target.eq_ignore_ascii_case(header) => {
            Err(ResultCode::BadRequest)
        }
        (Some(text), _) | (None, Some(text)) => Ok(Some(text.to_owned())),
        (None, None) => Ok(None),
    }
}

/// HTTP/2 splits cookies over several lines; HTTP/1.1 allows one (RFC 9113, 8.2.3).
fn join_cookies(headers: &mut HeaderMap) {
    let lines: Vec<&[u8]> = headers
        .get_all(COOKIE)
        .iter()
        .map(HeaderValue::as_bytes)
        .collect();
    if lines.len() < 2 {
        return;
    }
    if let Ok(joined) = HeaderValue::from_bytes(&lines.join(&b"; "[..])) {
        headers.insert(COOKIE, joined);
    }
}

/// Size of the head as it was before compression: 4 bytes stand for ": " and the line end.
fn head_bytes(headers: &HeaderMap, path: &PathAndQuery) -> u64 {
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let bytes = lines.sum::<usize>() + path.as_str().len();
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn caller_timeout(rule: &ServiceRule, headers: &HeaderMap) -> Result<Duration, ResultCode> {
    let limits = &rule.config.limits;
    let value = single(headers, CALLER_TIMEOUT)?;
    let Some(value) = value else {
        return Ok(limits.timeout.duration());
    };
    let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
    let millis = text.trim().parse().map_err(|_| ResultCode::BadRequest)?;
    Ok(Duration::from_millis(millis).min(limits.max_timeout.duration()))
}

fn request_key(
    rule: &ServiceRule,
    path: &PathAndQuery,
    headers: &HeaderMap,
) -> Result<Option<Vec<u8>>, ResultCode> {
    if rule.config.routing == RoutingMode::Free {
        return Ok(None);
    }
    let source = rule.config.key.as_ref().ok_or(ResultCode::BadRequest)?;
    let key = extract_key(source, path, headers)?;
    Ok(Some(key))
}

fn idempotency_key(rule: &ServiceRule, headers: &HeaderMap) -> Result<Option<String>, ResultCode> {
    let value = single(headers, IDEMPOTENCY_KEY)?;
    let Some(value) = value.filter(|_| rule.config.dedup == DedupMode::Router) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
    if text.is_empty() || text.len() > IDEMPOTENCY_LIMIT {
        return Err(ResultCode::BadRequest);
    }
    Ok(Some(text.to_owned()))
}

/// The caller's id if it is a valid one, else a new one.
fn request_id(context: &RequestContext, serial: &AtomicU64, headers: &HeaderMap) -> RequestId {
    let given = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    if let Some(id) = given.and_then(|text| text.parse().ok()) {
        return id;
    }
    let number = serial.fetch_add(1, Relaxed);
    // The clock makes ids of different processes of one host differ.
    let text = format!("{:x}-{number:x}", context.clock.now().0);
    text.parse()
        .unwrap_or_else(|error| unreachable!("hexadecimal digits are a valid name: {error}"))
}
