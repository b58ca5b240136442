//! Periods of the ownership protocol.

use std::time::Duration;

/// Time for which an elector promises to support no other controller.
pub const PROMISE_TTL: Duration = Duration::from_millis(2_000);

/// Interval at which a controller asks its electors to renew their promises.
pub const PROMISE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that a grant or map remains valid after the authority of its controller has ended.
pub const GRANT_GRACE: Duration = Duration::from_millis(1_500);

/// Interval at which a controller renews a server's grants.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Time without an extension of its map's validity after which a host becomes a candidate.
pub const CANDIDATE_DELAY: Duration = Duration::from_millis(1_500);

/// Added to [`CANDIDATE_DELAY`] for each rank of the host below the first, so that hosts become
/// candidates one after the other.
pub const RANK_DELAY: Duration = Duration::from_millis(300);

/// Upper bound of a map's validity.
pub const MAP_TTL: Duration = Duration::from_millis(3_000);

/// Longest time for which a host holds a map poll open until the map changes.
pub const POLL_MAX_WAIT: Duration = Duration::from_millis(400);

/// A controller without platform contact for this long gives up its authority.
pub const OUTAGE_LIMIT: Duration = Duration::from_secs(3_600);

/// Bound on the drift between any two clocks, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 5_000;

/// A server drops an order that it receives later than this after it was sent.
///
/// A server counts its grant from the receipt of the order, so the controller shortens the
/// grant by this window.
pub const ORDER_WINDOW: Duration = Duration::from_millis(200);
