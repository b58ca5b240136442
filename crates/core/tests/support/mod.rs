//! An ownership domain held in memory: hosts, electors, servers and a platform.
//!
//! Time is simulated. All randomness comes from one seed, so a run repeats exactly.
#![allow(dead_code, unused_imports)]

pub mod checker;
pub mod clock;
mod delivery;
pub mod fake_host;
pub mod faults;
mod injection;
pub mod message;
pub mod network;
mod prelude;
pub mod scenario;
pub mod server;
pub mod spec;
pub mod world;
