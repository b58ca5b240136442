//! Waits for conditions by polling.

use {
    crate::error::{BenchError, WaitTimedOutSnafu},
    std::{future::Future, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Maximum wait for a condition; a region that is not ready by then has failed.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `check` until it returns a value. `what` states the awaited condition as a clause for the
/// error message, such as `host-0 listens`.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> Result<T, BenchError> {
    let end = Instant::now() + WAIT_LIMIT;
    while Instant::now() < end {
        if let Some(value) = check().await {
            return Ok(value);
        }
        sleep(POLL_INTERVAL).await;
    }
    WaitTimedOutSnafu { what }.fail()
}
