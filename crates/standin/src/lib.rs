//! Stand-ins for the systems around the router, for tests, benchmarks and the
//! quick start: the platform, backend servers and the network between
//! processes. Each runs inside a test on a port given by the OS, or as a
//! process.

pub mod backend;
pub mod http;
pub mod platform;
pub mod proxy;
