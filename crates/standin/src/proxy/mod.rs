//! TCP proxy that injects network faults.

mod proxy_connection;
mod proxy_control;
mod proxy_listener;
mod proxy_settings;
mod proxy_standin;
mod proxy_state;

pub use {
    proxy_settings::{DirectionFaults, ProxySettings},
    proxy_standin::{ProxyOptions, ProxyStandin},
    proxy_state::ProxyStats,
};
