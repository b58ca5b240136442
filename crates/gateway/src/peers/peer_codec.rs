//! Encoding and authentication of the datagrams.
//!
//! A datagram is an authentication tag of [`MAC_BYTES`] bytes (truncated HMAC-SHA256) followed
//! by the message in bincode. The key is part of the stored assignment, which only hosts of
//! this system read.

use {
    super::{DigestAddition, ReportAddition, Trailing},
    crate::state::{
        ConfigCopy, FleetUpdate, LeavingServer, LoadReport, SeenVersions, ServerHash, SharedLimit,
        SuspectNews,
    },
    bincode::{Decode, Encode, config},
    camphorcove_core::{
        ids::{ConfigVersion, HostId, StoreVersion},
        ownership::{ElectorList, OwnerDelta},
    },
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::net::SocketAddr,
};

/// Length of the authentication tag: 128 bits suffice against guessing.
pub(super) const MAC_BYTES: usize = 16;

/// Memory that a decoded message may take, in bytes: several times the largest datagram. A length
/// in a malformed message could otherwise make the decoder reserve any amount.
const MESSAGE_MEMORY: usize = 1 << 20;

/// Report of a host to the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// Host that reports.
    pub host: HostId,
    /// Random number of its process.
    pub nonce: u64,
    /// Term of the leader that the report is for.
    pub term: u64,
    /// CPU share of the host, in thousandths of a core.
    pub cpu_permille: u16,
    /// Whether the store is out of the host's reach; only a host that calls it can tell.
    pub lacks_store: bool,
    /// Whether all servers are out of the host's reach.
    pub lacks_servers: bool,
    /// Versions of the newest changes that the host has seen.
    pub versions: SeenVersions,
    /// Version of the configuration in force at the host.
    pub config_version: ConfigVersion,
    /// Version of the newest assignment that the host knew before the store lost writes.
    pub remembered_owners: StoreVersion,
    /// Load at the servers as the host measures it.
    pub load: LoadReport,
    /// Facts that earlier builds do not know.
    pub addition: Trailing<ReportAddition>,
}

/// Summary of the reports, which the leader sends to all hosts at short intervals. A host that
/// gets none for some time takes the leader for lost.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Digest {
    /// Random number of the leader's process.
    pub nonce: u64,
    /// Term of the leader.
    pub term: u64,
    /// Whether the leader reaches the store.
    pub has_store: bool,
    /// Largest CPU share of any host, in thousandths of a core.
    pub largest_cpu: u16,
    /// Number of hosts that report; `None` until all had time to report to a new leader.
    pub hosts: Option<u32>,
    /// Versions of the newest changes that any host has seen.
    pub versions: SeenVersions,
    /// Hosts that are to watch the store besides the leader.
    pub watchers: Vec<SocketAddr>,
    /// Requests in flight over all hosts, for each server with few free slots.
    pub servers: Vec<(ServerHash, u32)>,
    /// Servers that limit the rate of requests, and what all hosts may send them.
    pub limits: Vec<SharedLimit>,
    /// Servers that have announced to leave.
    pub leaving: Vec<LeavingServer>,
    /// Hosts that reach no servers.
    pub without_servers: Vec<SocketAddr>,
    /// Addresses of all hosts, to which a later leader announces itself; empty in most
    /// digests.
    pub peers: Vec<SocketAddr>,
    /// Facts that earlier builds do not know.
    pub addition: Trailing<DigestAddition>,
}

/// Change of the assignment.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OwnerChange {
    /// Version to which the change applies.
    pub from: StoreVersion,
    /// Version after the change.
    pub to: StoreVersion,
    /// Difference between the two assignments.
    pub delta: OwnerDelta,
}

/// Change of the assignment that also replaces the electors.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ElectorChange {
    /// All else that changes.
    pub change: OwnerChange,
    /// Electors after the change.
    pub electors: ElectorList,
}

/// Message in a datagram. A build that does not know a variant drops the datagram, so variants are only
/// added at the end.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// To the leader: load and versions of a host.
    Report(Report),
    /// From the leader: summary of all reports.
    Digest(Digest),
    /// From the leader: a change of the assignment.
    Owners(OwnerChange),
    /// From the leader: changes of server entries.
    Fleet(FleetUpdate),
    /// From the leader: the newest configuration.
    Config(ConfigCopy),
    /// To the leader: request for changes after these versions, which the host knows.
    ResendRequest(SeenVersions),
    /// To all hosts: requests under which servers have crashed.
    Suspects(SuspectNews),
    /// From the leader: a change of the assignment with new electors. A host of an earlier build reads the
    /// assignment from the store instead.
    Electors(ElectorChange),
}

/// Encodes a message and prepends its authentication tag.
pub fn seal_message(secret: &[u8], message: &PeerMessage) -> Vec<u8> {
    let body = bincode::encode_to_vec(message, config::standard())
        .unwrap_or_else(|error| unreachable!("messages hold only plain values: {error}"));
    let mut bytes = compute_tag(secret, &body).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Verifies and decodes a message; `None` if it is not authentic or cannot be decoded.
pub fn open_message(secret: &[u8], bytes: &[u8]) -> Option<PeerMessage> {
    let (tag, body) = bytes.split_at_checked(MAC_BYTES)?;
    let mut mac = mac(secret);
    mac.update(body);
    mac.verify_truncated_left(tag).ok()?;
    let limited = config::standard().with_limit::<MESSAGE_MEMORY>();
    let (message, _) = bincode::decode_from_slice(body, limited).ok()?;
    Some(message)
}

fn compute_tag(secret: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = mac(secret);
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; MAC_BYTES];
    tag.copy_from_slice(&full[..MAC_BYTES]);
    tag
}

pub(super) fn mac(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(secret)
        .unwrap_or_else(|error| unreachable!("HMAC takes keys of any length: {error}"))
}
