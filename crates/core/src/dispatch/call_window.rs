//! Sliding window that bounds repeated calls of one service.
//!
//! Answers the load of failing servers: without a bound, repeats multiply the
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

#[derive(Clone, Copy, Debug)]
struct Division {
    start: BootTime,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service at one host.
#[derive(Clone, Debug)]
pub struct CallWindow {
    span: Duration,
    ratio: f64,
    slack: f64,
    divisions: VecDeque<Division>,
}

impl CallWindow {
    /// Allows `ratio` repeats a request plus `slack`, shared by all hosts, in `span`.
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

    /// Takes one repeat; `false` if this host's part of the allowance is spent.
    pub fn take_repeat(&mut self, hosts: u32, now: BootTime) -> bool {
        self.current(now);
        let requests: u32 = self.divisions.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.divisions.iter().map(|part| part.repeats).sum();
        let allowed = f64::from(requests) * self.ratio + self.slack / f64::from(hosts.max(1));
        if f64::from(repeats) + 1.0 > allowed * USED_SHARE {
            return false;
        }
        self.current(now).repeats += 1;
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
                repeats: 0,
            });
        }
        let last = self.divisions.len() - 1;
        &mut self.divisions[last]
    }
}
