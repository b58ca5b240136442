//! Fixtures shared by the gateway's integration tests.
#![allow(dead_code)]

pub mod crash_series;
pub mod evacuation_region;
pub mod fixtures;
pub mod kept_callers;
pub mod leader_hosts;
pub mod link_faults;
pub mod owned_region;
pub mod peer_relay;
pub mod search_region;
pub mod server_links;
pub mod single_host;
pub mod soak_callers;
pub mod soak_host;
pub mod soak_region;
pub mod soak_servers;
pub mod stop_series;
pub mod store_links;
