//! Safety table and backoff.

use {
    crate::outcome::{Execution, ResultCode},
    std::time::Duration,
};

/// Most times one request is sent or offered to a server.
pub const MAX_ATTEMPTS: u32 = 3;

/// Upper bound of the first backoff; it doubles with each attempt.
const BACKOFF_FIRST: Duration = Duration::from_millis(4);

/// Whether running the request again cannot run it twice, or may do so harmlessly.
pub const fn retry_is_safe(execution: Execution, declared_idempotent: bool) -> bool {
    match execution {
        Execution::NotRun => true,
        Execution::MayHaveRun => declared_idempotent,
        Execution::Ran => false,
    }
}

/// Whether another attempt could end differently.
///
/// `other_servers`: the request may go to a server other than the last one.
pub const fn worth_retrying(code: ResultCode, other_servers: bool) -> bool {
    match code {
        ResultCode::ServerUnreachable
        | ResultCode::ServerShed
        | ResultCode::PeerUnreachable
        | ResultCode::ReplyLost
        | ResultCode::ReplyInvalid
        | ResultCode::PeerLost => true,
        ResultCode::QueueFull | ResultCode::DeadlineTooShort | ResultCode::ClockUnknown => {
            other_servers
        }
        _ => false,
    }
}

/// Wait before attempt number `attempt` (the first retry is 1); `draw` is uniform.
///
/// Full jitter: any time from zero to the bound, so that callers refused together
/// do not return together.
pub fn backoff(attempt: u32, draw: u64) -> Duration {
    let bound = BACKOFF_FIRST * (1 << attempt.saturating_sub(1).min(8));
    let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(draw % (micros + 1))
}
