//! The camphorcove router daemon.

pub mod maps;
