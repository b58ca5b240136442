//! Time as the core sees it.
//!
//! All periods run on a boot-time clock that counts suspension. Whoever relies
//! on a period counts it from before the request that earned it was sent;
//! whoever waits a period out counts from after it learned of the period and
//! adds the drift bound with [`with_drift`].

mod boot_time;
mod constants;

pub use {
    boot_time::{BootTime, with_drift},
    constants::{
        CANDIDATE_DELAY, CLOCK_DRIFT_PPM, GRANT_GRACE, MAP_TTL, ORDER_WINDOW, OUTAGE_LIMIT,
        POLL_HOLD, PROMISE_INTERVAL, PROMISE_TTL, RANK_DELAY, RENEW_INTERVAL,
    },
};
