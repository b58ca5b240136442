//! Adapter to the platform's object API.
//!
//! [`ObjectStore`] is the interface that the rest of the router uses; supporting
//! another platform takes another implementation of it and no other change.
//! [`HttpStore`] implements it over HTTP.

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
