//! Decides for all hosts which share of their requests a limited server gets.
//!
//! The share is the limit divided by the requests that all hosts have for the server. Reports of
//! the hosts arrive late, so what was sent is compared with the limit as well, and the
//! difference is made up for by the next shares.

use {
    super::{AdmittedShare, LimitedRequests, RequestRate},
    crate::time::BootTime,
    std::time::Duration,
};

/// Time constants of two averages of the requests a second. The larger one counts: it follows a
/// burst within few reports, and does not fall with every pause.
const BURST_TIME: Duration = Duration::from_millis(300);
const DEMAND_TIME: Duration = Duration::from_millis(1_000);

/// Time within which a difference between the requests sent and the limit is made up for.
const CORRECTION_TIME: Duration = Duration::from_secs(1);

/// Bounds of the difference: requests that were sent too many, and too few, in seconds of the limit.
const MAX_EXCESS_SECONDS: f64 = 3.0;
const MAX_SAVED_SECONDS: f64 = 0.5;

/// Lowest rate at which requests are sent, so that an answer can tell that the limit is over.
const MIN_RATE: f64 = 0.25;

/// Averages of the requests a second of all hosts for a server.
#[derive(Clone, Copy, Debug)]
struct DemandEstimate {
    burst: f64,
    steady: f64,
}

/// Control of the requests of all hosts to one limited server.
#[derive(Clone, Debug)]
pub struct LimitControl {
    limit: RequestRate,
    /// `None` before the first reports.
    demand: Option<DemandEstimate>,
    /// Requests that the limit allowed so far and that were not sent; negative if too many were.
    unused: f64,
    share: AdmittedShare,
    /// Requests in the reports since the last update.
    reported: LimitedRequests,
    updated_at: BootTime,
}

impl DemandEstimate {
    fn new(rate: f64) -> Self {
        Self {
            burst: rate,
            steady: rate,
        }
    }

    fn updated(self, rate: f64, elapsed: f64) -> Self {
        let average = |old: f64, time: Duration| {
            let weight = 1.0 - (-elapsed / time.as_secs_f64()).exp();
            old + (rate - old) * weight
        };
        Self {
            burst: average(self.burst, BURST_TIME),
            steady: average(self.steady, DEMAND_TIME),
        }
    }

    fn rate(self) -> f64 {
        self.burst.max(self.steady)
    }
}

impl LimitControl {
    /// Starts the control of a limit, with the share that hosts are known to use.
    pub fn new(limit: RequestRate, share: AdmittedShare, now: BootTime) -> Self {
        let demand = DemandEstimate::new(limit.per_second() / share.fraction());
        Self {
            limit,
            demand: (share < AdmittedShare::ALL).then_some(demand),
            unused: 0.0,
            share,
            reported: LimitedRequests::default(),
            updated_at: now,
        }
    }

    /// Limit for all hosts together.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Share that hosts are to use.
    pub fn share(&self) -> AdmittedShare {
        self.share
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: RequestRate) {
        self.limit = limit;
    }

    /// Adds the requests of one host.
    pub fn record_requests(&mut self, requests: LimitedRequests) {
        self.reported.offered += requests.offered;
        self.reported.admitted += requests.admitted;
    }

    /// Computes the share from the reports since the last update.
    pub fn update(&mut self, now: BootTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated_at = now;
        let reported = std::mem::take(&mut self.reported);
        let offered_rate = f64::from(reported.offered) / elapsed;
        let demand = match self.demand {
            Some(demand) => demand.updated(offered_rate, elapsed),
            None if reported.offered == 0 => return,
            None => DemandEstimate::new(offered_rate),
        };
        self.demand = Some(demand);
        let limit = self.limit.per_second();
        let unused = self.unused + limit * elapsed - f64::from(reported.admitted);
        self.unused = unused.clamp(-limit * MAX_EXCESS_SECONDS, limit * MAX_SAVED_SECONDS);
        let wanted = limit + self.unused / CORRECTION_TIME.as_secs_f64();
        let fraction = wanted.max(MIN_RATE) / demand.rate().max(f64::MIN_POSITIVE);
        self.share = AdmittedShare::from_fraction(fraction);
    }
}
