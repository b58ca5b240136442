//! Messages between the router's own processes.

mod envelope;
mod messages;

pub use {
    envelope::{EnvelopeError, open, seal},
    messages::{ConfigSnapshot, ForwardEnvelope, MapAnswer, MapPoll, PeerAddress, ScopeAnswer},
};
