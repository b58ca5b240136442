//! Messages between the router's own processes.
//!
//! Every host has one TCP port for peers that speaks HTTP/2. Control messages
//! are `POST /peer/<kind>` with a bincode body behind an [`AuthTag`]; callers'
//! requests are `POST /peer/forward` with an authenticated envelope in a header and
//! their body streamed.

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
    auth::{AuthScope, AuthTag, KEY_BYTES_MIN, PeerKey, ReplayWindow, TAG_BYTES},
    client::PeerClient,
    envelope::{EnvelopeError, EnvelopeScope, open, seal},
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
