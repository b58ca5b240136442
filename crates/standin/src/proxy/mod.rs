//! TCP proxy that shows network faults.

mod proxy_control;
mod proxy_line;
mod proxy_listener;
mod proxy_settings;
mod proxy_standin;
mod proxy_state;

pub use {
    proxy_settings::{LineFaults, ProxySettings},
    proxy_standin::{ProxyOptions, ProxyStandin},
    proxy_state::ProxyStats,
};
