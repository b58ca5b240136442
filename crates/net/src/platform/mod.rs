//! Adapter to the platform's object API.
//!
//! [`ObjectStore`] is the edge: another platform needs another implementation
//! and nothing else. [`HttpStore`] is the implementation over HTTP.

mod call_counts;
mod http_store;
mod object_store;
mod store_error;
pub mod wire;

pub use {
    call_counts::{CallCounts, CallKind},
    http_store::{CALL_TIMEOUT, HttpStore},
    object_store::{
        ListedHost, ObjectKey, ObjectStore, PutCondition, StoredObject, WatchEvent, WatchResult,
    },
    store_error::StoreError,
};
