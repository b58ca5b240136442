//! Proof that a relayed request comes from a host of this system.
//!
//! Only hosts know the key, which is part of the stored assignment. The tag covers what decides
//! where the request goes and how often; the body is that of the caller.

use {
    super::peer_codec::{MAC_BYTES, mac},
    camphorcove_core::ids::ConfigVersion,
    hmac::Mac,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header},
    std::fmt::Write,
};

/// Header of a relayed request: most attempts at servers, version of the configuration in force at
/// its sender, and tag, separated by commas. It never reaches a server.
pub const RELAY_HEADER: HeaderName = HeaderName::from_static("camphorcove-relay");

/// Header of a response of a host that could not take a relayed request, while another one may.
pub const ELSEWHERE_HEADER: HeaderName = HeaderName::from_static("camphorcove-elsewhere");

/// What a host allows the one that it hands a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayGrant {
    /// Most attempts at servers.
    pub attempts: u32,
    /// Version of the configuration in force; a host with an older one must not take the request.
    pub config_version: ConfigVersion,
}

/// Request as the tag covers it.
#[derive(Clone, Copy, Debug)]
pub struct RelayedHead<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a Uri,
    /// Id of the caller's request.
    pub id: &'a HeaderValue,
    /// Host that the caller named.
    pub host: Option<&'a HeaderValue>,
}

impl<'a> RelayedHead<'a> {
    /// Head of a request with these headers; `None` if it has no id.
    pub fn of(
        method: &'a Method,
        target: &'a Uri,
        headers: &'a HeaderMap,
        id: Option<&'a HeaderValue>,
    ) -> Option<Self> {
        Some(Self {
            method,
            target,
            id: id?,
            host: headers.get(header::HOST),
        })
    }

    fn tag(&self, secret: &[u8], grant: RelayGrant) -> String {
        let mut mac = mac(secret);
        let target = self.target.to_string();
        let parts = [
            b"relay".as_slice(),
            self.method.as_str().as_bytes(),
            target.as_bytes(),
            self.id.as_bytes(),
            self.host.map_or(&[], HeaderValue::as_bytes),
            &grant.attempts.to_le_bytes(),
            &grant.config_version.0.to_le_bytes(),
        ];
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        let mut tag = String::new();
        for byte in &mac.finalize().into_bytes()[..MAC_BYTES] {
            let _ = write!(tag, "{byte:02x}");
        }
        tag
    }

    /// Value of [`RELAY_HEADER`] for this request.
    pub fn seal(&self, secret: &[u8], grant: RelayGrant) -> String {
        let tag = self.tag(secret, grant);
        format!("{},{},{tag}", grant.attempts, grant.config_version.0)
    }

    /// What the sender allows, if `value` is authentic.
    pub fn open(&self, secret: &[u8], value: &HeaderValue) -> Option<RelayGrant> {
        let (attempts, rest) = value.to_str().ok()?.split_once(',')?;
        let (version, tag) = rest.split_once(',')?;
        let grant = RelayGrant {
            attempts: attempts.parse().ok()?,
            config_version: ConfigVersion(version.parse().ok()?),
        };
        let expected = self.tag(secret, grant);
        // The time of the comparison does not tell where the tags differ.
        let differences = expected
            .bytes()
            .zip(tag.bytes())
            .fold(0, |found, (left, right)| found | (left ^ right));
        (expected.len() == tag.len() && differences == 0).then_some(grant)
    }
}
