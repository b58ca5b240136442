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

/// Opens a session on a new connection.
pub const HELLO: &str = "hello";

/// Path of callers' requests.
pub const FORWARD_PATH: &str = "/peer/forward";

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
    /// A controller that leaves names its successor.
    Handover,
    /// Asks for nothing but an answer.
    Probe,
}

impl PeerKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Poll,
        Self::Promise,
        Self::Status,
        Self::Handover,
        Self::Probe,
    ];

    /// Name in paths and codes.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Poll => "poll",
            Self::Promise => "promise",
            Self::Status => "status",
            Self::Handover => "handover",
            Self::Probe => "probe",
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
