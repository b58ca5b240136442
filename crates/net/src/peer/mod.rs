//! Messages between the router's own processes.

mod messages;

pub use messages::{ConfigSnapshot, ForwardEnvelope, MapAnswer, MapPoll, PeerAddress, ScopeAnswer};
