//! Headers between an entry host and a forwarder, and removal of headers that end at the router.

use {
    camphorcove_core::outcome::ResultCode,
    http::{
        HeaderMap, HeaderName, HeaderValue,
        header::{
            CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
            TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
    },
};

/// Path of forwarded requests on the peer port.
pub const FORWARD_PATH: &str = "/peer/forward";

/// Signed [`ForwardEnvelope`](camphorcove_net::peer::ForwardEnvelope).
pub const ENVELOPE: HeaderName = HeaderName::from_static("x-camphorcove-envelope");

/// Method of the caller's request.
pub const HOP_METHOD: HeaderName = HeaderName::from_static("x-camphorcove-method");

/// Path and query of the caller's request.
pub const HOP_PATH: HeaderName = HeaderName::from_static("x-camphorcove-path");

/// `Host` of the caller's request, which HTTP/2 replaces by the `:authority` of the hop.
pub const HOP_HOST: HeaderName = HeaderName::from_static("x-camphorcove-host");

/// `Content-Length` of a reply without a body, such as one to `HEAD`; HTTP/2 would reject the
/// header itself as inconsistent with the empty body.
pub const HOP_LENGTH: HeaderName = HeaderName::from_static("x-camphorcove-length");

/// Load of the server, as `IN_FLIGHT.QUEUED`.
pub const HOP_LOAD: HeaderName = HeaderName::from_static("x-camphorcove-load");

/// Prefix of headers that only the router may set.
const ROUTER_PREFIX: &str = "x-camphorcove-";

/// Prefix of headers that only servers may set.
const SERVER_PREFIX: &str = "x-server-";

/// Hop-by-hop headers, besides those that `Connection` lists.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, and headers that only the router or servers may set.
pub fn strip_headers(headers: &mut HeaderMap) {
    for name in listed_in_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
    let is_reserved = |name: &&HeaderName| {
        name.as_str().starts_with(ROUTER_PREFIX) || name.as_str().starts_with(SERVER_PREFIX)
    };
    let reserved: Vec<HeaderName> = headers.keys().filter(is_reserved).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Removes the framing header of a request; the HTTP client of each hop sets it from the body.
pub fn strip_framing(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
}

/// Value of a header, which must not appear more than once.
pub fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, ResultCode> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        (_, Some(_)) => Err(ResultCode::BadRequest),
    }
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let lines = headers.get_all(CONNECTION).iter();
    let texts = lines.filter_map(|line| line.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
