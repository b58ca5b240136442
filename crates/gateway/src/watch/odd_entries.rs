//! Entries of other writers that have been logged.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Most entries of a kind that are remembered, and so logged; a writer may leave any number of them.
const MEMORY_LIMIT: usize = 256;

/// Remembers the entries of a kind that cannot be used, so that each is logged once.
#[derive(Debug, Default)]
pub struct OddEntries {
    /// Hashes of names, which may be long.
    reported: HashSet<u64>,
}

impl OddEntries {
    /// Whether the entry is to be logged: it was not before, or could be used since.
    pub fn is_news(&mut self, name: &str) -> bool {
        if self.reported.len() >= MEMORY_LIMIT {
            return false;
        }
        let is_new = self.reported.insert(hash_of(name));
        if is_new && self.reported.len() == MEMORY_LIMIT {
            log::warn!(limit = MEMORY_LIMIT; "too many store entries that cannot be used, logging no further ones");
        }
        is_new
    }

    /// Forgets an entry that can be used again or has been removed.
    pub fn forget(&mut self, name: &str) {
        self.reported.remove(&hash_of(name));
    }
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
