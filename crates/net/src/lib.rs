//! What the camphorcove programs share around the core: the boot-time clock,
//! the adapters to the platform and to backend servers, the peer protocol and
//! logging.

pub mod clock;
pub mod config;
pub mod http;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod servers;
