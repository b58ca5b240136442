//! The peer listener's dispatch.

mod peer_service;

pub use peer_service::PeerService;
