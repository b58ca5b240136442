//! Fixtures shared by the gateway's integration tests.
#![allow(dead_code)]

pub mod fixtures;
pub mod leader_hosts;
pub mod owned_region;
pub mod search_region;
pub mod soak_region;
