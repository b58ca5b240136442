//! Phases of a planned stop.

use {
    camphorcove_core::time::BootTime,
    std::{future::pending, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// Time after the begin of a stop in which requests may still be sent to servers. Callers accept
/// a cut only for requests that they sent within 3 s after SIGTERM; 100 ms are for their way.
const LAST_START_TIME: Duration = Duration::from_millis(2_900);

/// Upper bound of that time, as a share of the stop time limit, for shorter limits: the other half
/// is for the requests that have been sent.
const LAST_START_SHARE: f64 = 0.5;

/// When the planned stop of this host began, and which requests may still be sent to servers.
#[derive(Debug)]
pub struct PlannedStop {
    begun: watch::Sender<Option<StopTimes>>,
    start_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct StopTimes {
    last_start: BootTime,
    /// The same time on the runtime's clock.
    timer: Instant,
}

impl PlannedStop {
    /// A stop with this time limit, which has not begun.
    pub fn new(limit: Duration) -> Self {
        Self {
            begun: watch::Sender::new(None),
            start_time: LAST_START_TIME.min(limit.mul_f64(LAST_START_SHARE)),
        }
    }

    /// Begins the stop, unless it has begun.
    pub fn begin(&self, now: BootTime) {
        let times = StopTimes {
            last_start: now + self.start_time,
            timer: Instant::now() + self.start_time,
        };
        self.begun.send_if_modified(|begun| {
            let is_first = begun.is_none();
            begun.get_or_insert(times);
            is_first
        });
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.borrow().is_some()
    }

    /// Time from which no request is sent to a server that has not been sent before; `None` before
    /// the stop.
    pub fn last_start(&self) -> Option<BootTime> {
        self.begun.borrow().map(|times| times.last_start)
    }

    /// Completes at `last_start`.
    pub async fn last_start_passed(&self) {
        let mut begun = self.begun.subscribe();
        let timer = match begun.wait_for(Option::is_some).await {
            Ok(times) => times.map(|times| times.timer),
            Err(_) => None,
        };
        match timer {
            Some(timer) => sleep_until(timer).await,
            // Not reached: the sender lives as long as `self`.
            None => pending().await,
        }
    }
}
