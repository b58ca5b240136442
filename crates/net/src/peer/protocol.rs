//! Paths, headers and message kinds shared by both ends of a peer connection.

use {
    super::PeerKey,
    bytes::Bytes,
    camphorcove_core::ids::HostId,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::{error::Error, fmt, str::FromStr},
};

/// Header with the sending host's id.
pub const SENDER_HEADER: &str = "x-peer-sender";

/// Kind of the message that opens the session of a new connection.
pub const HELLO: &str = "hello";

/// Path of forwarded requests of callers.
pub const FORWARD_PATH: &str = "/peer/forward";

/// HTTP body of requests and responses between peers.
pub type PeerBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> PeerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Kinds of control messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerKind {
    /// Requests newer maps and configuration.
    Poll,
    /// Requests a promise from an elector, one of the hosts that vote on who controls
    /// a scope.
    Promise,
    /// Requests the state of a host, for operators.
    Status,
    /// Sent by a controller that shuts down, to name its successor.
    Handover,
    /// Checks that the peer can be reached; has no other effect.
    Probe,
}

impl PeerKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 5] = [
        Self::Poll,
        Self::Promise,
        Self::Status,
        Self::Handover,
        Self::Probe,
    ];

    /// Name in request paths and in what a MAC covers.
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

/// Identity with which this process authenticates itself to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Id of this host.
    pub host: HostId,
    /// Key shared by the region's hosts.
    pub key: PeerKey,
    /// Random number generated when the process started.
    pub nonce: u64,
}
