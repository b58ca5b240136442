//! Encoding of a request and its reply between an entry host and a forwarder.

use {
    super::{
        ForwardPlan, RequestBody, RequestHead, RouterBody,
        hop_headers::{
            ENVELOPE, FORWARD_PATH, HOP_HOST, HOP_LENGTH, HOP_LOAD, HOP_METHOD, HOP_PATH,
            strip_framing, strip_headers,
        },
    },
    crate::context::RequestContext,
    camphorcove_core::{
        balance::LoadReport,
        headers::{EXECUTION, RESULT_CODE},
        outcome::ResultCode,
        time::BootTime,
    },
    camphorcove_net::peer::{
        EnvelopeContext, ForwardEnvelope, PeerAddress, sign_envelope, verify_envelope,
    },
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version,
        header::{CONTENT_LENGTH, HOST},
        uri::PathAndQuery,
    },
    hyper::body::Incoming,
    std::time::Duration,
};

/// Part of the remaining time, one in this many, by which a forwarder's deadline is earlier than
/// the entry host's, so that its result arrives before the entry host's deadline.
const HOP_MARGIN_DIVISOR: u32 = 10;

/// Upper bound of the difference of the deadlines; the round trip between zones takes 3 ms.
const MAX_HOP_MARGIN: Duration = Duration::from_millis(10);

/// Builds the request that passes a caller's request on to another host.
///
/// `None` if it cannot be encoded.
pub fn hop_request(
    context: &RequestContext,
    plan: &ForwardPlan,
    target: &PeerAddress,
    head: &RequestHead,
    body: RequestBody,
) -> Option<Request<RequestBody>> {
    let remaining = plan.deadline.since(context.clock.now());
    let remaining = remaining - (remaining / HOP_MARGIN_DIVISOR).min(MAX_HOP_MARGIN);
    let envelope = ForwardEnvelope {
        remaining_micros: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        ..plan.envelope.clone()
    };
    let path = head.path.as_str();
    let envelope_context = EnvelopeContext {
        receiver: &target.host.id,
        method: head.method.as_str(),
        path,
    };
    let signed = sign_envelope(&context.key, envelope_context, &envelope).ok()?;
    let mut headers = head.headers.clone();
    if let Some(host) = headers.remove(HOST) {
        headers.insert(HOP_HOST, host);
    }
    headers.insert(ENVELOPE, signed);
    headers.insert(
        HOP_METHOD,
        HeaderValue::from_str(head.method.as_str()).ok()?,
    );
    headers.insert(HOP_PATH, HeaderValue::from_bytes(path.as_bytes()).ok()?);
    let uri = format!("http://{}{FORWARD_PATH}", target.peer);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri.parse::<Uri>().ok()?;
    *request.version_mut() = Version::HTTP_2;
    *request.headers_mut() = headers;
    Some(request)
}

/// Decodes a request that another host passed on: its plan, and the caller's head and body.
pub fn read_hop_request(
    context: &RequestContext,
    request: Request<Incoming>,
    now: BootTime,
) -> Result<(ForwardPlan, RequestHead, Incoming), ResultCode> {
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    let method = headers.get(&HOP_METHOD).ok_or(ResultCode::PeerRefused)?;
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| ResultCode::PeerRefused)?;
    let path = headers.get(&HOP_PATH).ok_or(ResultCode::PeerRefused)?;
    let path = PathAndQuery::try_from(path.as_bytes()).map_err(|_| ResultCode::PeerRefused)?;
    let signed = headers.get(&ENVELOPE).ok_or(ResultCode::PeerRefused)?;
    let envelope_context = EnvelopeContext {
        receiver: &context.host,
        method: method.as_str(),
        path: path.as_str(),
    };
    let envelope = verify_envelope(&context.key, envelope_context, signed).map_err(|error| {
        log::warn!("refused a forwarded request: {error}");
        ResultCode::PeerRefused
    })?;
    let host = headers.remove(&HOP_HOST);
    strip_headers(&mut headers);
    strip_framing(&mut headers);
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
    let deadline = now + Duration::from_micros(envelope.remaining_micros);
    let head = RequestHead {
        method,
        path,
        headers,
    };
    Ok((ForwardPlan::new(envelope, deadline), head, body))
}

/// Builds the reply to a request that another host passed on.
pub fn hop_reply(
    result: Result<Response<RouterBody>, ResultCode>,
    load: Option<LoadReport>,
) -> Response<RouterBody> {
    let code = result
        .as_ref()
        .err()
        .copied()
        .unwrap_or(ResultCode::Answered);
    let mut reply = result.unwrap_or_else(|_| Response::new(RouterBody::from_text("")));
    let bodiless = http_body::Body::is_end_stream(reply.body());
    if bodiless && let Some(length) = reply.headers_mut().remove(CONTENT_LENGTH) {
        reply.headers_mut().insert(HOP_LENGTH, length);
    }
    set_result_headers(reply.headers_mut(), code);
    if let Some(load) = load
        && let Ok(value) = HeaderValue::from_str(&format!("{}.{}", load.in_flight, load.queued))
    {
        reply.headers_mut().insert(HOP_LOAD, value);
    }
    reply
}

/// Decodes the reply of another host: the result, and the server's load if it was reported.
pub fn read_hop_reply(
    reply: Response<Incoming>,
) -> (
    Result<(http::response::Parts, Incoming), ResultCode>,
    Option<LoadReport>,
) {
    let (mut parts, body) = reply.into_parts();
    let load = read_load(&parts.headers);
    let code = read_code(&parts.headers);
    let length = parts.headers.remove(HOP_LENGTH);
    strip_headers(&mut parts.headers);
    if let Some(length) = length {
        parts.headers.insert(CONTENT_LENGTH, length);
    }
    parts.version = Version::default();
    parts.extensions.clear();
    match code {
        Some(ResultCode::Answered) => (Ok((parts, body)), load),
        Some(code) => (Err(code), load),
        None if parts.status == StatusCode::UNAUTHORIZED => (Err(ResultCode::PeerRefused), load),
        None => (Err(ResultCode::PeerLost), load),
    }
}

/// Adds the result code, and whether the request ran, to the headers of an answer.
pub fn set_result_headers(headers: &mut HeaderMap, code: ResultCode) {
    headers.insert(RESULT_CODE, HeaderValue::from(code.number()));
    let execution = HeaderValue::from_static(code.execution().as_str());
    headers.insert(EXECUTION, execution);
}

fn read_code(headers: &HeaderMap) -> Option<ResultCode> {
    let text = headers.get(RESULT_CODE)?.to_str().ok()?;
    ResultCode::from_number(text.parse().ok()?)
}

fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(HOP_LOAD)?.to_str().ok()?;
    let (in_flight, queued) = text.split_once('.')?;
    Some(LoadReport {
        in_flight: in_flight.parse().ok()?,
        queued: queued.parse().ok()?,
    })
}
