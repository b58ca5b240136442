//! Callers that send their next request when the last one was answered.

use {
    crate::{load::Caller, report::CallTally},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Time a caller waits for an answer; longer than any queue here.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Result of callers in a closed loop.
pub(super) struct LoopResult {
    pub tally: CallTally,
    pub elapsed: Duration,
}

impl LoopResult {
    pub fn rate(&self) -> f64 {
        self.tally.good() as f64 / self.elapsed.as_secs_f64()
    }
}

/// Runs `connections` callers, each with one connection, for `duration`.
pub(super) async fn run(
    address: SocketAddr,
    target: &str,
    connections: usize,
    duration: Duration,
) -> LoopResult {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..connections {
        callers.spawn(call_until(address, target.to_owned(), started + duration));
    }
    let mut tally = CallTally::default();
    while let Some(ended) = callers.join_next().await {
        if let Ok(part) = ended {
            tally.merge(&part);
        }
    }
    let elapsed = started.elapsed();
    LoopResult { tally, elapsed }
}

async fn call_until(address: SocketAddr, target: String, end: Instant) -> CallTally {
    let caller = Caller::new(1, TIMEOUT);
    let mut tally = CallTally::default();
    while Instant::now() < end {
        let started = Instant::now();
        let outcome = caller.get(address, &target).await;
        tally.add(outcome, started.elapsed());
    }
    tally
}
