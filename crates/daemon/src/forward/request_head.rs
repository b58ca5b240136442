//! Head of a caller's request, kept for further attempts.

use {
    http::{HeaderMap, Method, header::HOST, uri::PathAndQuery},
    std::net::SocketAddr,
};

/// Method, path and cleaned headers of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub path: PathAndQuery,
    /// Headers without hop-by-hop and framing headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Gives the head a `Host` header if the caller's request had none.
    pub fn ensure_host(&mut self, address: SocketAddr) {
        if self.headers.contains_key(HOST) {
            return;
        }
        if let Ok(value) = address.to_string().parse() {
            self.headers.insert(HOST, value);
        }
    }
}
