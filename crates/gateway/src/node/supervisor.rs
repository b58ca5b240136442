//! Keeps the tasks running that a host cannot do without.

use {
    std::{future::Future, panic, time::Duration},
    tokio::time::sleep,
};

/// Pause before a task starts again, so that one that fails at once does not use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task that is not to end, and starts it again when it panics or ends; never returns.
pub async fn supervise<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match tokio::spawn(start()).await {
            Ok(()) => log::error!(task = name; "task ended, starting it again"),
            Err(error) => {
                log::error!(task = name, reason:% = error; "task failed, starting it again");
            }
        }
        sleep(RESTART_DELAY).await;
    }
}

/// Writes each panic to the log, with the place where it happened.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string);
        let reason = info.payload_as_str().unwrap_or("unknown");
        log::error!(place:? = place, reason; "panic");
    }));
}
