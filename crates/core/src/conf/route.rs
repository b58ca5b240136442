//! Which service a request belongs to, and its key.

use {
    super::{KeySource, RegionConfig, RoutingMode, ServiceConfig},
    std::borrow::Cow,
};

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

impl KeySource {
    /// Key of a request; `None` if the request has none or an empty one.
    ///
    /// Percent-encoded bytes of paths and queries are decoded, so that two
    /// spellings of a key have one owner. `header` looks a header up by name.
    pub fn extract<'r>(
        &self,
        path: &'r str,
        query: Option<&'r str>,
        header: impl FnOnce(&str) -> Option<&'r [u8]>,
    ) -> Option<Cow<'r, [u8]>> {
        let key = match self {
            Self::Path { segment } => {
                let index = usize::try_from(*segment).ok()?;
                let text = path.strip_prefix('/')?.split('/').nth(index)?;
                decode_percent(text)
            }
            Self::Header { name } => Cow::Borrowed(header(name)?),
            Self::Query { name } => {
                let mut pairs = query?
                    .split('&')
                    .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
                let (_, value) = pairs.find(|(key, _)| *key == name)?;
                decode_percent(value)
            }
        };
        (!key.is_empty()).then_some(key)
    }
}

/// Decodes `%XX`; a percent sign without two digits stays as it is.
fn decode_percent(text: &str) -> Cow<'_, [u8]> {
    let bytes = text.as_bytes();
    if !bytes.contains(&b'%') {
        return Cow::Borrowed(bytes);
    }
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        match (bytes[index], hex_pair(bytes.get(index + 1..index + 3))) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    Cow::Owned(decoded)
}

fn hex_pair(pair: Option<&[u8]>) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let [high, low] = pair? else { return None };
    u8::try_from(digit(*high)? << 4 | digit(*low)?).ok()
}
