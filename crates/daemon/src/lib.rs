//! The camphorcove router daemon.

pub mod admin;
pub mod conf;
pub mod context;
pub mod control;
pub mod error;
pub mod forward;
pub mod maps;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod serve;
pub mod shutdown;
