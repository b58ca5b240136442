//! HTTP/1.1 client with kept connections and exact knowledge of what was sent.
//!
//! Unlike general-purpose clients it never retries and tells a request that
//! never left this host apart from one whose fate is unknown.

mod http_client;

pub use http_client::{ExchangeError, HttpClient};
