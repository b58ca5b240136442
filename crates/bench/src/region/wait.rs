//! Waiting for a state of the region.

use {
    crate::error::{BenchError, NotReachedSnafu},
    std::{future::Future, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest wait; a region that is not ready by then has failed.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks until there is a value.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> Result<T, BenchError> {
    let end = Instant::now() + WAIT_LIMIT;
    while Instant::now() < end {
        if let Some(value) = look().await {
            return Ok(value);
        }
        sleep(LOOK_INTERVAL).await;
    }
    NotReachedSnafu { what }.fail()
}
