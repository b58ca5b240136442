//! Utilization up to which servers answer within a target latency.

use std::time::Duration;

/// Part of the target latency that counts, as in the admission rule: a server above it refuses
/// requests that have to queue.
const TARGET_SHARE: f64 = 0.95;

/// Time that 19 of 20 requests wait at most, as a multiple of the mean waiting time; the waiting
/// time is distributed about exponentially.
const WAIT_SPREAD: f64 = 3.0;

/// Lowest result. A zone whose servers miss the target without any queue gains nothing from other
/// zones below one half.
const MIN_UTILIZATION: f64 = 0.5;

/// Highest result. Demand is known to about a tenth, as the requests of a second vary.
const MAX_UTILIZATION: f64 = 0.9;

/// Steps of the search; the result is exact to a thousandth.
const SEARCH_STEPS: u32 = 10;

/// Utilization up to which 19 of 20 requests are answered within the target latency.
///
/// Each server is a queue of its own, as hosts know the loads of servers only with a delay. The mean
/// waiting time of a queue with several slots is estimated by Sakasegawa's formula.
pub fn utilization_limit(
    slots_per_server: f64,
    service_time: Duration,
    target_latency: Duration,
) -> f64 {
    let service_time = service_time.as_secs_f64().max(0.001);
    let target = target_latency.as_secs_f64() * TARGET_SHARE;
    let longest_wait = (target / service_time - 1.0) / WAIT_SPREAD;
    let slots = slots_per_server.max(1.0);
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let mean_wait = |utilization: f64| utilization.powf(exponent) / (slots * (1.0 - utilization));
    let (mut low, mut high) = (MIN_UTILIZATION, MAX_UTILIZATION);
    if mean_wait(high) <= longest_wait {
        return high;
    }
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match mean_wait(middle) <= longest_wait {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}
