//! Bounds the number of log lines by topic.

use {
    camphorcove_core::time::BootTime,
    std::{collections::HashMap, time::Duration},
};

/// Lines of one topic in each period: enough to follow every request of a calm day
/// that fails, little against the processor time of the requests under load.
const LINES_PER_PERIOD: u32 = 40;

/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// A request was refused.
    Refusal,
    /// A request failed.
    Failure,
    /// A request is retried.
    Retry,
    /// A server's behaviour.
    Server,
    /// An order to a server.
    Order,
    /// Store entries that cannot be read.
    Entry,
    /// Datagrams of other hosts.
    Peer,
}

#[derive(Debug, Default)]
struct TopicCount {
    since: BootTime,
    lines: u32,
    dropped: u64,
}

/// Limits the number of log lines per topic and period.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    topics: HashMap<LogTopic, TopicCount>,
}

impl LogRateLimiter {
    /// Whether a line may be written; if so, how many were left out before it.
    pub fn allow(&mut self, topic: LogTopic, now: BootTime) -> Option<u64> {
        let count = self.topics.entry(topic).or_default();
        if now.since(count.since) >= PERIOD {
            count.since = now;
            count.lines = 0;
        }
        if count.lines >= LINES_PER_PERIOD {
            count.dropped += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.dropped))
    }
}
