//! The camphorcove router daemon.

pub mod admin;
pub mod maps;
