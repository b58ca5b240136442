//! Deduplication of requests by idempotency key, here called id.
//!
//! Each id has one home host, which remembers it for the deduplication window:
//! in a keyed service the forwarder of the shard's owner, in an unkeyed service
//! the host that [`home_host`] names. A host accepts an id as new only if it has
//! been the id's home host for the whole window.

mod dedup_coverage;
mod id_window;

pub use {
    dedup_coverage::{DedupCoverage, home_host},
    id_window::{IdVerdict, IdWindow},
};
