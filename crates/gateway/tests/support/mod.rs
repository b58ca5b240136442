//! Stand-ins and fixtures of the gateway's tests.
#![allow(dead_code)]

pub mod caller;
pub mod fixtures;
pub mod owning_server;
pub mod scripted_server;
pub mod soak_region;
pub mod store_standin;
