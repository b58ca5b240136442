//! Waiting for conditions.

use std::{future::Future, time::Duration};

/// Timeout of any wait. It is long, because it only serves to end a test that hangs.
pub const DEADLINE: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `check` returns a value and returns it; panics after [`DEADLINE`].
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let end = tokio::time::Instant::now() + DEADLINE;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "not reached within {DEADLINE:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until `check` returns true; panics after [`DEADLINE`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    wait_for(what, || {
        let seen = check();
        async move { seen.await.then_some(()) }
    })
    .await;
}
