//! Hashing of keys into shards, and ranking of hosts by hash.

mod key_hash;
mod rendezvous;

pub use {
    key_hash::{KeyHash, shard_of},
    rendezvous::{rank_hosts, rendezvous_score},
};
