//! Fixtures of the gateway's tests.
#![allow(dead_code)]

pub mod fixtures;
pub mod soak_region;
