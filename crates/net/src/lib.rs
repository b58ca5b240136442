//! Input and output shared by the camphorcove programs: clocks, the adapters to
//! the platform and to backend servers, the peer protocol and logging.
//!
//! The decisions themselves are made in `camphorcove_core`, which does no I/O.

pub mod clock;
pub mod config;
pub mod http;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod servers;
