//! Decisions of the router, without I/O.
//!
//! Every module here is deterministic: events and the current time go in, and
//! actions come out. Sockets, files, timers and the platform are handled by the
//! daemon. Randomness comes from a seeded generator that the caller passes in.

#[macro_use]
mod value_type;

pub mod audit;
pub mod conf;
pub mod control;
pub mod election;
pub mod headers;
pub mod ids;
pub mod keys;
pub mod map;
pub mod placement;
pub mod scope;
pub mod time;
