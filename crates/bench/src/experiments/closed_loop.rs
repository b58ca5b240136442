//! Closed-loop load: callers that send the next request after the last one was answered.

use {
    crate::{load::Caller, report::CallStats},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Time a caller waits for an answer; longer than any queueing time in these experiments.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Outcomes and duration of a closed-loop run.
pub(super) struct ClosedLoopResult {
    pub call_stats: CallStats,
    pub elapsed: Duration,
}

impl ClosedLoopResult {
    /// Good calls per second.
    pub fn rate(&self) -> f64 {
        self.call_stats.good() as f64 / self.elapsed.as_secs_f64()
    }
}

/// Runs `connections` callers, each with one connection to `address`, for `duration`.
pub(super) async fn run(
    address: SocketAddr,
    target: &str,
    connections: usize,
    duration: Duration,
) -> ClosedLoopResult {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..connections {
        callers.spawn(call_until(address, target.to_owned(), started + duration));
    }
    let mut call_stats = CallStats::default();
    while let Some(finished) = callers.join_next().await {
        if let Ok(caller_stats) = finished {
            call_stats.merge(&caller_stats);
        }
    }
    let elapsed = started.elapsed();
    ClosedLoopResult {
        call_stats,
        elapsed,
    }
}

/// Sends requests one after the other until `end`.
async fn call_until(address: SocketAddr, target: String, end: Instant) -> CallStats {
    let caller = Caller::new(1, TIMEOUT);
    let mut call_stats = CallStats::default();
    while Instant::now() < end {
        let started = Instant::now();
        let outcome = caller.get(address, &target).await;
        call_stats.add(outcome, started.elapsed());
    }
    call_stats
}
