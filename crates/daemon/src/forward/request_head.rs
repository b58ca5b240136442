//! Head of a caller's request.

use {
    http::{HeaderMap, Method, header::HOST, uri::PathAndQuery},
    std::net::SocketAddr,
};

/// Method, path and headers of a caller's request, which each attempt sends.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method, as the caller wrote it.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub path: PathAndQuery,
    /// Headers without hop-by-hop and framing headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Sets `Host` to the server's address if the caller's request had no such header.
    pub fn ensure_host(&mut self, address: SocketAddr) {
        if self.headers.contains_key(HOST) {
            return;
        }
        if let Ok(value) = address.to_string().parse() {
            self.headers.insert(HOST, value);
        }
    }
}
