//! Work that would block a thread of the async runtime.

use tokio::task::spawn_blocking;

/// Runs `work` on a thread of its own.
///
/// Reading a configuration of 530 servers takes several milliseconds, which is
/// of the order of the time allowed for a caller's request.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    match spawn_blocking(work)
        .await
        .map_err(|error| error.try_into_panic())
    {
        Ok(result) => result,
        Err(Ok(panic)) => std::panic::resume_unwind(panic),
        // The runtime is shutting down and drops this task as well.
        Err(Err(_)) => std::future::pending().await,
    }
}
