//! Periods of the ownership protocol.

use std::time::Duration;

/// Length of an elector's promise.
pub const PROMISE_TTL: Duration = Duration::from_millis(2_000);

/// Interval at which a controller renews promises.
pub const PROMISE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time a grant or map outlives the authority it was given under.
pub const GRANT_GRACE: Duration = Duration::from_millis(1_500);

/// Interval at which a controller renews a server's grants.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// A host becomes a candidate when its map was not prolonged for this long.
pub const CANDIDATE_DELAY: Duration = Duration::from_millis(1_500);

/// Added to [`CANDIDATE_DELAY`] for each rank below the first.
pub const RANK_DELAY: Duration = Duration::from_millis(300);

/// Upper bound of a map's validity.
pub const MAP_TTL: Duration = Duration::from_millis(3_000);

/// Longest time a map poll waits for a change.
pub const POLL_HOLD: Duration = Duration::from_millis(400);

/// A controller without platform contact for this long gives up its authority.
pub const OUTAGE_LIMIT: Duration = Duration::from_secs(3_600);

/// Bound on the drift between any two clocks, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 5_000;

/// A server drops an order that it receives later than this after it was sent.
///
/// The grant's length counts from receipt, so the window is taken off it.
pub const ORDER_WINDOW: Duration = Duration::from_millis(200);
