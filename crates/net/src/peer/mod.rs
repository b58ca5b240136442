//! Protocol between the router's hosts.
//!
//! Every host serves HTTP/2 to its peers on one TCP port. Control messages are
//! `POST /peer/<kind>`; their body is an [`AuthTag`] followed by a message encoded
//! with bincode. Callers' requests are forwarded as `POST /peer/forward` with an
//! authenticated [`ForwardEnvelope`] in a header; their body is streamed.

mod auth;
mod client;
mod envelope;
mod frame;
mod map_delta;
mod messages;
mod peer_error;
mod protocol;
mod random;
mod server;
mod traffic;

pub use {
    auth::{AuthContext, AuthTag, KEY_BYTES_MIN, PeerKey, ReplayWindow, TAG_BYTES},
    client::PeerClient,
    envelope::{EnvelopeContext, EnvelopeError, sign_envelope, verify_envelope},
    frame::{FRAME_BYTES_MAX, decode, encode, read_frame},
    map_delta::MapDelta,
    messages::{
        ConfigSnapshot, ForwardEnvelope, MapAnswer, MapPoll, MapUpdate, PeerAddress, ScopeAnswer,
        StatusAnswer, StatusRequest,
    },
    peer_error::PeerError,
    protocol::{PeerBody, PeerIdentity, PeerKind, full_body},
    random::random_nonce,
    server::{PeerHandler, PeerServer},
    traffic::PeerTraffic,
};
