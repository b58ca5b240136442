//! Datagrams between hosts: reports to the leader, digests and changes from it.

mod peer_codec;
mod peer_link;
mod suspect_sender;

pub use {
    peer_codec::{Digest, OwnerChange, PeerMessage, Report, open_message, seal_message},
    peer_link::{PeerLink, receive},
    suspect_sender::share_suspects,
};
