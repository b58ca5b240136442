//! The camphorcove router daemon.

pub mod context;
pub mod forward;
pub mod maps;
pub mod serve;
