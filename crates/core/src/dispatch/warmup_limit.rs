//! What all hosts together may send to a server that is cold.

use {super::RequestRate, crate::routing::ServiceRule, std::time::Duration};

/// Standard deviations between the mean and the allowance of a second. Requests of many hosts at
/// random times vary like a Poisson process, which exceeds this about three times in 10,000 seconds.
const SAFE_DEVIATIONS: f64 = 4.5;

/// Longest time for which an unused permit stays valid: a longer one lets more permits come together.
const MAX_PERMIT_TIME: Duration = Duration::from_secs(2);

/// Limit of the cold servers of a service, for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    rate: RequestRate,
    /// Requests within any one second.
    allowance: f64,
    keyed: bool,
}

impl WarmupLimit {
    /// Limit of a service; `None` if the deployment or the service does not limit cold servers.
    ///
    /// `overage` is a factor on the rate that the service states, `slack` a number of requests.
    pub fn of(service: &ServiceRule, overage: Option<f64>, slack: Option<f64>) -> Option<Self> {
        let rate = service.warmup?.rate;
        Some(Self {
            rate,
            allowance: rate.per_second() * overage? + slack?,
            keyed: service.keyed,
        })
    }

    /// Requests a second that a cold server is meant to get.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Requests that a cold server may get within any one second.
    pub fn allowance(&self) -> f64 {
        self.allowance
    }

    /// Whether only the owner of a key can serve a request.
    pub fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// Largest mean number of requests a second with which a second rarely exceeds the allowance.
    fn safe_mean(&self) -> f64 {
        // The solution of `mean + SAFE_DEVIATIONS * sqrt(mean) = allowance`.
        let root = (SAFE_DEVIATIONS.powi(2) + 4.0 * self.allowance).sqrt();
        ((root - SAFE_DEVIATIONS) / 2.0).powi(2)
    }

    /// Permits a second of all hosts.
    pub(super) fn permit_rate(&self) -> f64 {
        self.rate.per_second().min(self.safe_mean())
    }

    /// Time for which an unused permit stays valid. Within one second, permits of this time and of the
    /// second itself may be used.
    pub(super) fn permit_time(&self) -> Duration {
        let seconds = self.safe_mean() / self.permit_rate().max(f64::MIN_POSITIVE) - 1.0;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_PERMIT_TIME.as_secs_f64()))
    }
}
