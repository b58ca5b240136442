//! Sliding window that limits the retries of one service.
//!
//! Answers the load of failing servers: without a limit, retries multiply the
//! requests at the moment when servers can take least.

use {
    crate::time::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Divisions of the window; one more is kept, so that the bound holds for every
/// span of the window's length.
const DIVISIONS: u32 = 20;

/// Share of the allowance that is used: hosts join and leave while shares change.
const USED_SHARE: f64 = 0.8;

/// Number of hosts that share an allowance: the most that were counted lately, as a host
/// that has just left may have spent its part.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCount {
    count: Option<u32>,
    counted_at: BootTime,
}

impl HostCount {
    /// Records a count of hosts; a lower one holds once the last higher one is older than `window`.
    pub fn record_hosts(&mut self, hosts: u32, window: Duration, now: BootTime) {
        let lower = self.count.is_some_and(|count| hosts < count);
        if lower && now.since(self.counted_at) < window {
            return;
        }
        self.count = Some(hosts.max(1));
        self.counted_at = now;
    }

    /// Hosts, if they have been counted.
    pub fn known(self) -> Option<u32> {
        self.count
    }
}

#[derive(Clone, Copy, Debug)]
struct Division {
    start: BootTime,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one host within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    span: Duration,
    ratio: f64,
    slack: f64,
    divisions: VecDeque<Division>,
}

impl RetryWindow {
    /// Allows `ratio` retries per request plus `slack`, shared by all hosts, in `span`.
    pub fn new(span: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            span,
            ratio,
            slack,
            divisions: VecDeque::new(),
        }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: BootTime) {
        self.current(now).requests += 1;
    }

    /// Reserves one retry; `false` if this host's part of the allowance is spent.
    ///
    /// A host that does not know how many share the slack takes no part of it.
    pub fn try_retry(&mut self, hosts: Option<u32>, now: BootTime) -> bool {
        self.current(now);
        let requests: u32 = self.divisions.iter().map(|part| part.requests).sum();
        let retries: u32 = self.divisions.iter().map(|part| part.retries).sum();
        let part = hosts.map_or(0.0, |hosts| self.slack / f64::from(hosts.max(1)));
        let allowed = f64::from(requests) * self.ratio + part;
        if f64::from(retries) + 1.0 > allowed * USED_SHARE {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    fn current(&mut self, now: BootTime) -> &mut Division {
        let length = self.span / DIVISIONS;
        while let Some(first) = self.divisions.front()
            && now.since(first.start) >= self.span + length
        {
            self.divisions.pop_front();
        }
        let fresh = self
            .divisions
            .back()
            .is_none_or(|last| now.since(last.start) >= length);
        if fresh {
            self.divisions.push_back(Division {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.divisions.len() - 1;
        &mut self.divisions[last]
    }
}
