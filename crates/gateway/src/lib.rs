//! The camphorcove host program on the users' platform.
//!
//! Every host accepts callers' requests and forwards them to backend servers directly. One
//! host at a time is the leader: it grants key ranges to servers and collects the loads that
//! hosts report. All durable data is kept in the platform's store.

pub mod conf;
pub mod error;
pub mod forward;
pub mod leader;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod serve;
pub mod state;
pub mod watch;
