//! A region of real daemon processes with in-process stand-ins for the platform and the
//! backend servers.

#![allow(dead_code, unused_imports, missing_docs)]

mod caller;
mod daemon;
mod metrics;
mod region;
mod wait;

pub use {
    caller::{CallResult, CallerClient},
    daemon::{DaemonProcess, DaemonSetup},
    metrics::MetricValues,
    region::{Owners, Region, RegionPlan, SERVICE, keys, zone},
    wait::{DEADLINE, POLL_INTERVAL, wait_for, wait_until},
};
