//! Hashing of keys into shards.

mod key_hash;
mod rendezvous;

pub use {
    key_hash::{KeyHash, shard_of},
    rendezvous::{rank_hosts, rendezvous_score},
};
