//! Electors and their in-memory promises.
//!
//! A controller has authority while a majority of its scope's electors promise
//! to support no other controller. Promises are never stored; a restarted
//! elector abstains until it has read the scope object from the platform and
//! until every promise it may have given before its restart has lapsed.

mod elector_table;
mod promise;

pub use {
    elector_table::ElectorTable,
    promise::{PromiseReply, PromiseRequest, RefuseReason},
};
