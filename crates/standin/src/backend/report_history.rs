//! Earlier values of a server's load.

use {
    camphorcove_core::time::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Changes kept; older ones are forgotten.
const CHANGE_LIMIT: usize = 4_096;

/// Number of running requests over time.
#[derive(Debug, Default)]
pub(super) struct ReportHistory {
    changes: VecDeque<(BootTime, u32)>,
}

impl ReportHistory {
    pub fn record(&mut self, now: BootTime, in_flight: u32) {
        if self.changes.len() == CHANGE_LIMIT {
            self.changes.pop_front();
        }
        self.changes.push_back((now, in_flight));
    }

    /// The value as it was `lag` before `now`; 0 if it is not known.
    pub fn shown(&self, now: BootTime, lag: Duration) -> u32 {
        let then = now.minus(lag);
        let known = self.changes.iter().rev().find(|(time, _)| *time <= then);
        known.map(|(_, in_flight)| *in_flight).unwrap_or_default()
    }
}
