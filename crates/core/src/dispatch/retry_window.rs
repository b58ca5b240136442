//! Limit on the retries of one service within a sliding window.
//!
//! Without a limit, retries multiply the load on failing servers when these can handle
//! the least.

use {
    crate::time::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Number of buckets in the window. One more is kept, so that the limit holds for every
/// interval of the window's length.
const BUCKETS: u32 = 20;

/// Share of the allowance that is used; the rest is a margin for changes in the number of
/// hosts that share it.
const USED_SHARE: f64 = 0.8;

/// Number of hosts that share the retry allowance.
///
/// A lower count takes effect with a delay, because a host that has just left may have
/// spent its part of the allowance.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCount {
    count: Option<u32>,
    counted_at: BootTime,
}

impl HostCount {
    /// Records a count of hosts. A lower count is ignored until the current one is older than
    /// `window`.
    pub fn record_hosts(&mut self, hosts: u32, window: Duration, now: BootTime) {
        let lower = self.count.is_some_and(|count| hosts < count);
        if lower && now.since(self.counted_at) < window {
            return;
        }
        self.count = Some(hosts.max(1));
        self.counted_at = now;
    }

    /// Number of hosts; `None` before the first count.
    pub fn value(self) -> Option<u32> {
        self.count
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: BootTime,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries of one service at one host within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    span: Duration,
    /// Retries allowed per request.
    ratio: f64,
    /// Retries allowed in addition, shared by all hosts.
    slack: f64,
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Allows, within each interval of length `span`, `ratio` retries per request plus `slack`
    /// retries shared by all hosts.
    pub fn new(span: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            span,
            ratio,
            slack,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: BootTime) {
        self.current_bucket(now).requests += 1;
    }

    /// Reserves one retry; `false` if this host's part of the allowance is spent.
    ///
    /// A host that does not know the number of hosts uses none of the slack.
    pub fn try_retry(&mut self, hosts: Option<u32>, now: BootTime) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack_share = hosts.map_or(0.0, |hosts| self.slack / f64::from(hosts.max(1)));
        let allowed = f64::from(requests) * self.ratio + slack_share;
        if f64::from(retries) + 1.0 > allowed * USED_SHARE {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Drops expired buckets and returns the bucket for `now`.
    fn current_bucket(&mut self, now: BootTime) -> &mut Bucket {
        let bucket_length = self.span / BUCKETS;
        while let Some(first) = self.buckets.front()
            && now.since(first.start) >= self.span + bucket_length
        {
            self.buckets.pop_front();
        }
        let needs_new_bucket = self
            .buckets
            .back()
            .is_none_or(|last| now.since(last.start) >= bucket_length);
        if needs_new_bucket {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
