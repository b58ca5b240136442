//! The camphorcove host program on the users' platform.
//!
//! Every host takes requests and sends them to servers itself. One host at a time is
//! the leader: it grants keys and collects the loads that hosts report. Everything
//! that must last lies in the platform's store.

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
