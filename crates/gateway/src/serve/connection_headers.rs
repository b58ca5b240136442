//! Removal of hop-by-hop headers, which concern one connection only.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers, besides those that a `Connection` header names.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes all hop-by-hop headers, including those that `Connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        named.extend(text.split(',').filter_map(|name| name.trim().parse().ok()));
    }
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
