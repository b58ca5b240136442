//! Refusals that a connection to a server has carried.
//!
//! A server in trouble may write a refusal once more, at any later time and with or without the
//! request's id. Only a request on the same connection can receive such a copy.

use {
    http::HeaderValue,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Refusals after which a connection is closed: it bounds the memory of the history, and a new
/// connection takes 1 ms, little for so many requests.
const MAX_REFUSALS: usize = 64;

/// Ids of the requests that were refused on one connection.
#[derive(Debug, Default)]
pub struct RefusalHistory {
    /// Hashes of the ids. Two ids with the same hash cost one new connection, nothing else.
    refused: Vec<u64>,
}

impl RefusalHistory {
    /// Records the refusal of the request with this id.
    pub fn record(&mut self, id: &HeaderValue) {
        self.refused.push(hash_of(id));
    }

    /// Whether a response to the request with this id may be a copy of its earlier refusal.
    pub fn contains(&self, id: &HeaderValue) -> bool {
        self.refused.contains(&hash_of(id))
    }

    /// Whether the connection is to be closed instead of carrying another request.
    pub fn is_full(&self) -> bool {
        self.refused.len() >= MAX_REFUSALS
    }
}

fn hash_of(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
