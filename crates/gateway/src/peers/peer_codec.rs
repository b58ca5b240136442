//! Form and authentication of the datagrams.
//!
//! A datagram is the code of [`MAC_BYTES`] bytes followed by the message in bincode.
//! The key lies in the stored assignment, which only hosts of this system read.

use {
    crate::state::{FleetUpdate, LoadReport, Revised, SeenRevisions, ServerHash},
    bincode::{Decode, Encode, config},
    camphorcove_core::{ids::HostId, ownership::OwnerDelta},
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::net::SocketAddr,
};

/// Bytes of the code that are sent: 128 bits suffice against guessing.
const MAC_BYTES: usize = 16;

/// What a host tells the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// Host.
    pub host: HostId,
    /// Number of its process.
    pub nonce: u64,
    /// Term of the leader that the report is for.
    pub term: u64,
    /// Its processor share, in thousandths of a core.
    pub cpu_permille: u16,
    /// Revisions of the newest changes that it has seen.
    pub revisions: SeenRevisions,
    /// Its load.
    pub load: LoadReport,
}

/// What the leader tells all hosts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// Leader's process.
    pub nonce: u64,
    /// Its term.
    pub term: u64,
    /// The leader reaches the store.
    pub has_store: bool,
    /// Largest processor share of a host, in thousandths of a core.
    pub largest_cpu: u16,
    /// Hosts that report, once all had time to.
    pub hosts: Option<u32>,
    /// Revisions of the newest changes that any host has seen.
    pub revisions: SeenRevisions,
    /// Hosts that watch the store besides the leader.
    pub watchers: Vec<SocketAddr>,
    /// Requests over all hosts at each server that has few free slots.
    pub servers: Vec<(ServerHash, u32)>,
    /// Addresses of all hosts, in some digests; a later leader announces itself there.
    pub peers: Vec<SocketAddr>,
}

/// A change of the assignment.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OwnerChange {
    /// Revision that it starts from.
    pub from: u64,
    /// Revision that it leads to.
    pub to: u64,
    /// Difference.
    pub delta: OwnerDelta,
}

impl Revised for OwnerChange {
    fn start(&self) -> u64 {
        self.from
    }

    fn end(&self) -> u64 {
        self.to
    }
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// To the leader.
    Report(Report),
    /// From the leader.
    Digest(Digest),
    /// From the leader: a change of the assignment.
    Owners(OwnerChange),
    /// From the leader: changes of servers.
    Fleet(FleetUpdate),
    /// To the leader: how far the host has followed the store; it asks for later changes.
    ResendRequest(SeenRevisions),
}

/// Encodes and authenticates a message.
pub fn seal_message(secret: &[u8], message: &PeerMessage) -> Vec<u8> {
    let body = bincode::encode_to_vec(message, config::standard())
        .unwrap_or_else(|error| unreachable!("messages hold only plain values: {error}"));
    let mut bytes = code(secret, &body).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a message; `None` if it is not authentic or cannot be read.
pub fn open_message(secret: &[u8], bytes: &[u8]) -> Option<PeerMessage> {
    let (tag, body) = bytes.split_at_checked(MAC_BYTES)?;
    let mut mac = mac(secret);
    mac.update(body);
    mac.verify_truncated_left(tag).ok()?;
    let (message, _) = bincode::decode_from_slice(body, config::standard()).ok()?;
    Some(message)
}

fn code(secret: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = mac(secret);
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; MAC_BYTES];
    tag.copy_from_slice(&full[..MAC_BYTES]);
    tag
}

fn mac(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(secret)
        .unwrap_or_else(|error| unreachable!("HMAC takes keys of any length: {error}"))
}
