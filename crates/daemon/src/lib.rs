//! The camphorcove router daemon.

pub mod conf;
pub mod error;
pub mod maps;
