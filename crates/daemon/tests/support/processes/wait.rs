//! Waiting on conditions.

use std::{future::Future, time::Duration};

/// Overall limit of any wait; generous, because only its absence matters.
pub const DEADLINE: Duration = Duration::from_secs(60);

/// Pause between two looks.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `look` returns a value.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    let end = tokio::time::Instant::now() + DEADLINE;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "not reached within {DEADLINE:?}: {what}"
        );
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Waits until `look` returns true.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut look: impl FnMut() -> F) {
    wait_for(what, || {
        let seen = look();
        async move { seen.await.then_some(()) }
    })
    .await;
}
