//! An ownership domain held in memory: hosts, electors, servers and a platform.
//!
//! Time is simulated. All randomness comes from one seed, so a run repeats exactly.
#![allow(dead_code)]

pub mod checker;
pub mod clock;
pub mod faults;
pub mod network;
pub mod server;
pub mod spec;
pub mod world;
