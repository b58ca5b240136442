//! Matches requests to services by host and path prefix.

use super::{RegionConfig, RoutingMode, ServiceConfig};

impl RegionConfig {
    /// Returns the service of a request, or `None` if no service matches its host and path.
    ///
    /// A service with a host goes before services for any host; then the longest path prefix wins.
    /// A prefix matches whole path segments only.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&ServiceConfig> {
        let host = host.map(host_name);
        let matching = self.services.iter().filter(|service| {
            let host_matches = service.host.is_none() || service.host == host;
            host_matches && prefix_matches(&service.path_prefix, path)
        });
        matching.max_by_key(|service| (service.host.is_some(), service.path_prefix.len()))
    }
}

/// Removes the port from a `Host` header and converts the name to lower case.
fn host_name(host: &str) -> String {
    let end = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => colon,
        _ => host.len(),
    };
    host[..end].to_ascii_lowercase()
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl ServiceConfig {
    /// Whether each request must go to the server that owns its key.
    pub fn is_keyed(&self) -> bool {
        self.routing == RoutingMode::Keyed
    }
}
