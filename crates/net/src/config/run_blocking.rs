//! Runs CPU-bound work outside the threads of the async runtime.

use tokio::task::spawn_blocking;

/// Runs `work` on a thread of the blocking pool and passes on its panics.
///
/// Parsing a configuration of 530 servers takes several milliseconds, about as long
/// as a caller's request may take, so it must not block an async thread.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    match spawn_blocking(work)
        .await
        .map_err(|error| error.try_into_panic())
    {
        Ok(result) => result,
        Err(Ok(panic)) => std::panic::resume_unwind(panic),
        // The work was cancelled because the runtime is shutting down, so this task
        // is dropped as well.
        Err(Err(_)) => std::future::pending().await,
    }
}
