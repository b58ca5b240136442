//! Requests a second that arrive in a zone for a service.

use std::time::Duration;

/// Time constants of three averages. The first follows a burst within two reports of each host, the second
/// bridges a pause and falls from 2.6 times the usual load to 1.2 times within 1.1 s, and the third
/// varies little enough at 30 requests a second to be compared with thresholds a tenth apart.
const BURST_TIME: Duration = Duration::from_millis(300);
const RECENT_TIME: Duration = Duration::from_millis(500);
const STEADY_TIME: Duration = Duration::from_millis(3_000);

/// Standard deviations by which a shorter average has to differ from the steady one to count: the number of
/// requests that arrive in its time varies by chance.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

/// Time for which the recent average counts after the demand has changed; it has settled by then.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Smoothed demand of one zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneDemand {
    burst: f64,
    recent: f64,
    steady: f64,
    /// Seconds for which the steady average still follows the recent one.
    settling: f64,
}

impl ZoneDemand {
    /// Starts from the first measured rate.
    pub fn new(rate: f64) -> Self {
        Self {
            burst: rate,
            recent: rate,
            steady: rate,
            settling: SETTLING_TIME.as_secs_f64(),
        }
    }

    /// Adds the rate measured over the last `elapsed` seconds.
    pub fn update(&mut self, rate: f64, elapsed: f64) {
        let average = |old: f64, time: Duration| {
            let weight = 1.0 - (-elapsed / time.as_secs_f64()).exp();
            old + (rate - old) * weight
        };
        self.burst = average(self.burst, BURST_TIME);
        self.recent = average(self.recent, RECENT_TIME);
        self.steady = average(self.steady, STEADY_TIME);
        let difference = (self.recent - self.steady).abs();
        self.settling = match difference > chance_deviation(self.recent, RECENT_TIME) {
            true => SETTLING_TIME.as_secs_f64(),
            false => (self.settling - elapsed).max(0.0),
        };
        if self.settling > 0.0 {
            self.steady = self.recent;
        }
    }

    /// Requests a second, including what a burst certainly adds.
    pub fn rate(self) -> f64 {
        let certain = self.burst - chance_deviation(self.burst, BURST_TIME);
        self.steady.max(certain)
    }
}

/// Difference that chance explains in an average over `time` of `rate` requests a second. An
/// exponential average counts the requests of twice its time constant.
fn chance_deviation(rate: f64, time: Duration) -> f64 {
    SIGNIFICANT_DEVIATIONS * (rate / (2.0 * time.as_secs_f64())).sqrt()
}
