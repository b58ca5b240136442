//! Stable hash of a key.

use {crate::ids::ShardId, xxhash_rust::xxh3::xxh3_64};

value_type!(
    /// XXH3-64 of a key's bytes with seed 0; part of the public contract, so it never changes.
    KeyHash(u64)
);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

/// Shard of a key in a service with `shards` shards; `shards` must not be 0.
///
/// The range of hash values is divided into equal consecutive parts, one per shard.
pub fn shard_of(hash: KeyHash, shards: u32) -> ShardId {
    let scaled = (u128::from(hash.0) * u128::from(shards)) >> 64;
    ShardId(u32::try_from(scaled).unwrap_or(shards.saturating_sub(1)))
}
