//! In-memory simulation of one scope: hosts with electors, backend servers, platform and network.
//!
//! Time is simulated and all randomness comes from one seed, so a run is exactly reproducible.
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
pub mod simulation;
pub mod spec;
