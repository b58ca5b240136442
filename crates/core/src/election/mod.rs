//! Electors and their in-memory promises.
//!
//! Each scope has a small set of elector hosts, and a numbered term (its epoch)
//! per controller. A promise is a time-limited vote (a lease): the elector
//! supports no other controller until the promise expires. A controller has
//! authority, the right to issue grants and routing maps, while a majority of
//! the electors has promised.
//!
//! Promises are kept in memory only. A restarted elector therefore abstains
//! until it has read the scope object from the platform and until every promise
//! that it may have given before its restart has expired.

mod elector_table;
mod promise;

pub use {
    elector_table::ElectorTable,
    promise::{PromiseReply, PromiseRequest, RefuseReason},
};
