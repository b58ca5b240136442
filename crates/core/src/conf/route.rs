//! Which service a request belongs to.

use super::{RegionConfig, RoutingMode, ServiceConfig};

impl RegionConfig {
    /// Service of a request; `None` if no service answers to host and path.
    ///
    /// A service with a host goes before services for any host, then the longest
    /// path prefix wins. A prefix matches whole segments.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&ServiceConfig> {
        let host = host.map(host_name);
        let matching = self.services.iter().filter(|service| {
            let host_matches = service.host.is_none() || service.host == host;
            host_matches && prefix_matches(&service.path_prefix, path)
        });
        matching.max_by_key(|service| (service.host.is_some(), service.path_prefix.len()))
    }
}

/// Host name without port, in lower case.
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
    /// Whether requests go to the owner of their key.
    pub fn is_keyed(&self) -> bool {
        self.routing == RoutingMode::Keyed
    }
}
