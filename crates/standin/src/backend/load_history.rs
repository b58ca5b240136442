//! Past load of a backend stand-in, to report it with a lag.

use {
    camphorcove_core::time::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of changes kept; the oldest are dropped.
const MAX_CHANGES: usize = 4_096;

/// Number of running requests after each change, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    changes: VecDeque<(BootTime, u32)>,
}

impl LoadHistory {
    pub fn record(&mut self, now: BootTime, in_flight: u32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, in_flight));
    }

    /// Number of running requests `lag` before `now`; 0 if it is not known.
    pub fn in_flight_before(&self, now: BootTime, lag: Duration) -> u32 {
        let then = now.minus(lag);
        let known = self.changes.iter().rev().find(|(time, _)| *time <= then);
        known.map(|(_, in_flight)| *in_flight).unwrap_or_default()
    }
}
