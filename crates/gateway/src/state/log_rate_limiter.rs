//! Limits the rate of log lines per topic.

use {
    camphorcove_core::time::BootTime,
    std::{collections::HashMap, time::Duration},
};

/// Most lines of one topic in a period. Under normal load this logs every failed request;
/// under high load, the cost of logging stays small against that of the requests.
const LINES_PER_PERIOD: u32 = 40;

/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Subject of a log line; each has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// A request was refused.
    Refusal,
    /// A request failed.
    Failure,
    /// A request is retried.
    Retry,
    /// An attempt of a request at a server failed.
    Server,
    /// A request was handed to another host.
    Relay,
    /// An order to a server failed.
    Order,
    /// A datagram was not sent or not accepted.
    Peer,
    /// The share of requests that leave an availability zone has changed.
    Zone,
}

#[derive(Debug, Default)]
struct TopicCount {
    since: BootTime,
    lines: u32,
    suppressed: u64,
}

/// Limits the number of log lines per topic and period.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    topics: HashMap<LogTopic, TopicCount>,
}

impl LogRateLimiter {
    /// Whether a line may be logged. If so, returns how many lines were suppressed before it.
    pub fn allow(&mut self, topic: LogTopic, now: BootTime) -> Option<u64> {
        let count = self.topics.entry(topic).or_default();
        if now.since(count.since) >= PERIOD {
            count.since = now;
            count.lines = 0;
        }
        if count.lines >= LINES_PER_PERIOD {
            count.suppressed += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}
