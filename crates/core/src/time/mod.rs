//! Clock readings, and the periods of the ownership protocol.
//!
//! All periods are measured on a boot-time clock, which keeps running while the
//! host is suspended. The side that relies on a period, such as a controller on
//! an elector's promise, starts it before it sends the request for it. The side
//! that waits for the end of a period starts it after it has learned of the
//! period, and adds the drift bound with [`with_drift`].

mod boot_time;
mod constants;

pub use {
    boot_time::{BootTime, with_drift},
    constants::{
        CANDIDATE_DELAY, CLOCK_DRIFT_PPM, GRANT_GRACE, MAP_TTL, ORDER_WINDOW, OUTAGE_LIMIT,
        POLL_MAX_WAIT, PROMISE_INTERVAL, PROMISE_TTL, RANK_DELAY, RENEW_INTERVAL,
    },
};
