//! Names shared by both ends of a peer connection.

use {
    super::PeerKey,
    bytes::Bytes,
    camphorcove_core::ids::HostId,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::{error::Error, fmt, str::FromStr},
};

/// Header with the sending host's id.
pub const SENDER_HEADER: &str = "x-peer-sender";

/// Header with the tag of a forwarded request, in hexadecimal.
pub const TAG_HEADER: &str = "x-peer-tag";

/// Header with the envelope of a forwarded request, in hexadecimal.
pub const ENVELOPE_HEADER: &str = "x-peer-envelope";

/// Header with the caller's method.
pub const METHOD_HEADER: &str = "x-peer-method";

/// Header with the caller's path and query.
pub const TARGET_HEADER: &str = "x-peer-target";

/// Opens a session on a new connection.
pub const HELLO: &str = "hello";

/// Carries a caller's request.
pub const FORWARD: &str = "forward";

/// Body of requests and answers between peers.
pub type PeerBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// A body of known content.
pub fn full_body(bytes: impl Into<Bytes>) -> PeerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Kinds of control messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerKind {
    /// Maps and configuration.
    Poll,
    /// Promises of electors.
    Promise,
    /// State of a host for operators.
    Status,
}

impl PeerKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Poll, Self::Promise, Self::Status];

    /// Name in paths and codes.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Poll => "poll",
            Self::Promise => "promise",
            Self::Status => "status",
        }
    }
}

impl fmt::Display for PeerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for PeerKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        known.ok_or(())
    }
}

/// Who this process is among its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// This host.
    pub host: HostId,
    /// Key shared by the region's hosts.
    pub key: PeerKey,
    /// Random number drawn when the process started.
    pub nonce: u64,
}

/// Bytes that a forwarded request's code covers; the streamed body is not among them.
pub(super) fn forward_cover(envelope: &[u8], method: &str, target: &str) -> Vec<u8> {
    let mut cover = Vec::with_capacity(envelope.len() + method.len() + target.len() + 16);
    for part in [envelope, method.as_bytes(), target.as_bytes()] {
        cover.extend_from_slice(&(part.len() as u64).to_le_bytes());
        cover.extend_from_slice(part);
    }
    cover
}

/// Bytes in hexadecimal.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    use fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Bytes from hexadecimal.
pub(super) fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len() / 2);
    for pair in text.chunks_exact(2) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        bytes.push(u8::try_from(high << 4 | low).ok()?);
    }
    Some(bytes)
}
