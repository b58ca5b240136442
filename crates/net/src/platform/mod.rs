//! Adapter to the platform's object API.
//!
//! [`ObjectStore`] is the edge: another platform needs another implementation
//! and nothing else.

mod object_store;
mod store_error;

pub use {
    object_store::{
        ListedHost, ObjectKey, ObjectStore, PutCondition, StoredObject, WatchEvent, WatchResult,
    },
    store_error::StoreError,
};
