//! Decision logic of the router, without I/O.
//!
//! Every module here is deterministic: events and the current time go in, and
//! actions come out. Sockets, files, timers and the platform are handled by the
//! daemon. Randomness comes from a seeded generator that the caller passes in.

#[macro_use]
mod value_type;

pub mod admission;
pub mod audit;
pub mod balance;
pub mod conf;
pub mod control;
pub mod dedup;
pub mod dispatch;
pub mod election;
pub mod fleet;
pub mod headers;
pub mod ids;
pub mod keys;
pub mod map;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod scope;
pub mod time;
pub mod zones;
