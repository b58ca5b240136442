//! Messages between hosts: datagrams with reports to the leader, its digests and changes, and proofs
//! for requests that hosts hand to each other.

mod message_additions;
mod peer_codec;
mod peer_link;
mod relay_tag;
mod suspect_sender;
mod trailing;

pub use {
    message_additions::{DigestAddition, ReportAddition},
    peer_codec::{
        Digest, ElectorChange, OwnerChange, PeerMessage, Report, open_message, seal_message,
    },
    peer_link::{PeerLink, receive},
    relay_tag::{ELSEWHERE_HEADER, RELAY_HEADER, RelayGrant, RelayedHead},
    suspect_sender::share_suspects,
    trailing::Trailing,
};
