//! The camphorcove router daemon, which runs on every host of a region.
//!
//! It accepts requests from callers and routes each to a backend server; in a keyed service
//! that is the server that owns the request's key. The request reaches the server directly or
//! by way of the host that forwards to that server.

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
