//! The camphorcove router daemon.

pub mod admin;
pub mod conf;
pub mod error;
pub mod maps;
