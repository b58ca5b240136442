//! The camphorcove router daemon.

pub mod admin;
pub mod conf;
pub mod control;
pub mod error;
pub mod maps;
