//! Decides whether a retry is safe and useful, and how long to wait before it.

use {
    crate::outcome::{Execution, ResultCode},
    std::time::Duration,
};

/// Maximum number of times that a request is sent or offered to a server, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Upper bound of the wait before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(4);

/// Whether the request may be sent again.
///
/// True if it has certainly not run, or if it may have run and the configuration declares its
/// method idempotent.
pub const fn retry_is_safe(execution: Execution, declared_idempotent: bool) -> bool {
    match execution {
        Execution::NotRun => true,
        Execution::MayHaveRun => declared_idempotent,
        Execution::Ran => false,
    }
}

/// Whether another attempt may succeed after one that ended with `code`.
///
/// `other_servers` tells whether the request may go to a server other than the last one.
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

/// Wait before retry number `attempt`, where the first retry is 1. It is at most 1.024 s.
///
/// `draw` is a uniformly distributed random number. The wait has full jitter, that is any length
/// from zero to the bound, so that requests refused together are not retried together.
pub fn backoff(attempt: u32, draw: u64) -> Duration {
    let bound = INITIAL_BACKOFF * (1 << attempt.saturating_sub(1).min(8));
    let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(draw % (micros + 1))
}
