//! Stand-ins (test doubles) for the systems that the router depends on, for tests,
//! benchmarks and the quick start: the platform, backend servers, and a TCP proxy
//! that injects network faults. Each runs inside a test on a port chosen by the
//! OS, or as its own process.

pub mod backend;
pub mod http;
pub mod platform;
pub mod proxy;
