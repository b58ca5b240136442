//! Handling of messages and requests from other hosts.

mod peer_service;

pub use peer_service::PeerService;
