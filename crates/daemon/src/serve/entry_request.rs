//! Checks of a caller's request, made before it is routed.

use {
    super::{
        ServiceIndex, ServiceRule,
        key_extract::{extract_key, has_dot_segment},
    },
    crate::{
        context::RequestContext,
        forward::{
            CallerBody, RequestBody, RequestHead, single_value, strip_framing, strip_headers,
        },
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
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A caller's request that passed all checks.
#[derive(Debug)]
pub struct EntryRequest {
    /// Service that answers the request.
    pub rule: Arc<ServiceRule>,
    /// Key that selects the shard, if the service is keyed.
    pub key: Option<Vec<u8>>,
    /// Time until which the request must be answered.
    pub deadline: BootTime,
    /// Request id, for logs and the server.
    pub request: RequestId,
    /// Idempotency key, if the router deduplicates the service's requests.
    pub idempotency_key: Option<String>,
    /// Method, path and headers to send to the server.
    pub head: RequestHead,
    /// Body, if the request has one.
    pub body: Option<CallerBody>,
}

impl EntryRequest {
    /// Body for the next attempt, or `None` if it cannot be sent again.
    pub fn lease_body(&self) -> Option<RequestBody> {
        match &self.body {
            None => Some(RequestBody::Empty),
            Some(body) => body.lease().map(RequestBody::Caller),
        }
    }

    /// Result code of the fault that ended the caller's body, if any.
    pub fn body_fault(&self) -> Option<ResultCode> {
        self.body.as_ref().and_then(CallerBody::fault)
    }
}

/// Checks a request against the protocol and its service's limits, and extracts what routing
/// needs. Request ids made here are numbered by `serial`.
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
    let time_limit = caller_timeout(&rule, &parts.headers)?;
    let key = request_key(&rule, &path, &parts.headers)?;
    let idempotency_key = read_idempotency_key(&rule, &parts.headers)?;
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
        deadline: context.clock.now() + time_limit,
        request,
        idempotency_key,
        head: RequestHead {
            method: parts.method,
            path,
            headers: parts.headers,
        },
        body,
        rule,
    })
}

/// Refuses requests whose version or method is not supported or whose framing is ambiguous.
fn check_protocol(parts: &Parts) -> Result<(), ResultCode> {
    // A response of unknown length to HTTP/1.0 ends with the connection, so the
    // caller could not tell an aborted response from a complete one.
    if parts.version < Version::HTTP_11 {
        return Err(ResultCode::VersionUnsupported);
    }
    let unsupported = parts.method == Method::CONNECT || parts.method == Method::TRACE;
    let framed_twice =
        parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING);
    if unsupported || framed_twice || parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(ResultCode::BadRequest);
    }
    Ok(())
}

/// Authority of the request.
///
/// An absolute request target and a different `Host` are ambiguous and are unsupported.
fn host_of(parts: &Parts) -> Result<Option<String>, ResultCode> {
    let header = single_value(&parts.headers, HOST.as_str())?;
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

/// Joins the `Cookie` lines into one: HTTP/2 allows several, HTTP/1.1 only one (RFC 9113, 8.2.3).
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

/// Size of the path and the uncompressed headers, with 4 bytes a line for ": " and the line end.
fn head_bytes(headers: &HeaderMap, path: &PathAndQuery) -> u64 {
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let bytes = lines.sum::<usize>() + path.as_str().len();
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Timeout that the caller asked for, up to the service's maximum, or else the service's default.
fn caller_timeout(rule: &ServiceRule, headers: &HeaderMap) -> Result<Duration, ResultCode> {
    let limits = &rule.config.limits;
    let value = single_value(headers, CALLER_TIMEOUT)?;
    let Some(value) = value else {
        return Ok(limits.timeout.duration());
    };
    let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
    let millis = text.trim().parse().map_err(|_| ResultCode::BadRequest)?;
    Ok(Duration::from_millis(millis).min(limits.max_timeout.duration()))
}

/// Key of a request to a keyed service.
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

/// Idempotency key of a request, if the router deduplicates the service's requests.
fn read_idempotency_key(
    rule: &ServiceRule,
    headers: &HeaderMap,
) -> Result<Option<String>, ResultCode> {
    let value = single_value(headers, IDEMPOTENCY_KEY)?;
    let Some(value) = value.filter(|_| rule.config.dedup == DedupMode::Router) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ResultCode::BadRequest)?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(ResultCode::BadRequest);
    }
    Ok(Some(text.to_owned()))
}

/// The caller's request id if it is valid, otherwise a new one.
fn request_id(context: &RequestContext, serial: &AtomicU64, headers: &HeaderMap) -> RequestId {
    let given = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    if let Some(id) = given.and_then(|text| text.parse().ok()) {
        return id;
    }
    let number = serial.fetch_add(1, Relaxed);
    // The time distinguishes ids made before and after a restart of the process.
    let text = format!("{:x}-{number:x}", context.clock.now().0);
    text.parse()
        .unwrap_or_else(|error| unreachable!("hexadecimal digits are a valid name: {error}"))
}
