//! Tests the times at which callers of refused requests are told to return.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, GaugeReading, ReportedLoad, RequestOutcome, ReturnPlan,
            ReturnQuery, ReturnReason, ReturnTarget, ServerGauge, WorkTime, retry_after,
        },
        time::BootTime,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

const SLOTS: u32 = 2;
const SERVICE_MS: f64 = 250.0;
const HOSTS: usize = 20;
const DIGEST_MS: u64 = 250;
/// Requests a second that the server can take.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS;
/// Usual load, as a share of the capacity.
const USUAL_LOAD: f64 = 0.6;
/// Interval at which bursts begin.
const CYCLE_MS: u64 = 10_000;
const CYCLES: u64 = 30;
const DEADLINE_MS: u64 = 4_000;

/// How callers are told to return.
#[derive(Clone, Copy, PartialEq)]
enum Timing {
    /// By half of the server's expected queueing time.
    Queue,
    /// By the plan of each host.
    Plan,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn target() -> ReturnTarget {
    ReturnTarget::Owner("s1".parse().expect("an id"))
}

fn query(reading: GaugeReading, hosts: u32, time_left: Duration) -> ReturnQuery {
    ReturnQuery {
        reason: ReturnReason::Overloaded,
        reading,
        capacity: f64::from(reading.slots) / reading.service_time,
        hosts,
        time_left,
    }
}

/// Reading of a server with a full queue.
fn busy_reading() -> GaugeReading {
    GaugeReading {
        backlog: 8,
        slots: SLOTS,
        expected: 1.125,
        service_time: 0.25,
        work_factor: 1.0,
        failure_share: 0.0,
        avoided: false,
    }
}

/// Runs one server whose load rises to `burst` times the usual one for `burst_ms` in each cycle. Callers
/// retry once at another host. Returns the share of requests served.
fn simulate(timing: Timing, burst: f64, burst_ms: u64, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut gauges = vec![ServerGauge::new(SLOTS, Duration::ZERO, at(0)); HOSTS];
    let mut plans = vec![ReturnPlan::default(); HOSTS];
    let mut published = [0_u32; HOSTS];
    let mut slots = [0_u64; SLOTS as usize];
    // End, start, host, time of sending and deadline of each request at the server.
    let mut requests: Vec<(u64, u64, usize, u64, u64)> = Vec::new();
    // Time of return and deadline of the callers that were refused once.
    let mut returns: Vec<(u64, u64)> = Vec::new();
    let (mut offered, mut served) = (0_u32, 0_u32);
    for now in 0..CYCLE_MS * CYCLES {
        if now.is_multiple_of(DIGEST_MS) {
            let total: u32 = published.iter().sum();
            for (gauge, published) in gauges.iter_mut().zip(&mut published) {
                gauge.set_remote_load(total - *published);
                *published = gauge.publish_in_flight();
            }
        }
        let ended: Vec<_> = requests
            .extract_if(.., |request| request.0 <= now)
            .collect();
        for (end, _, host, sent, deadline) in ended {
            let running = requests.iter().filter(|request| request.1 <= now).count() as u32;
            let reported = ReportedLoad {
                running,
                waiting: requests.len() as u32 - running,
                slots: SLOTS,
                work_time: WorkTime::USUAL,
            };
            let latency = Duration::from_millis(now - sent);
            gauges[host].record_ended(RequestOutcome::Success, latency, at(now));
            gauges[host].record_reported_load(reported, at(now));
            served += u32::from(end <= deadline);
        }
        // Deadline of each request that arrives now, and whether it is a first attempt.
        let mut arrivals: Vec<(u64, bool)> = Vec::new();
        for (_, deadline) in returns.extract_if(.., |(at, _)| *at <= now) {
            arrivals.push((deadline, false));
        }
        let load = match now % CYCLE_MS < burst_ms {
            true => USUAL_LOAD * burst,
            false => USUAL_LOAD,
        };
        if random.random::<f64>() < load * CAPACITY / 1_000.0 {
            arrivals.push((now + DEADLINE_MS, true));
            offered += 1;
        }
        for (deadline, is_first) in arrivals {
            let host = random.random_range(0..HOSTS);
            let time_left = Duration::from_millis(deadline.saturating_sub(now));
            let rule = AdmissionRule {
                target_latency: Duration::from_millis(1_000),
                time_left,
                rank_limit: None,
                is_hot_key: false,
            };
            let reading = gauges[host].read(at(now));
            if rule.decide(reading) == Admission::Send {
                gauges[host].record_sent();
                let work = SERVICE_MS * (0.5 + random.random::<f64>());
                let slot = slots.iter_mut().min().expect("slots");
                let start = (*slot).max(now);
                *slot = start + work as u64;
                requests.push((*slot, start, host, now, deadline));
                continue;
            }
            if !is_first {
                continue;
            }
            let spread = random.random();
            let wait = match timing {
                Timing::Queue => retry_after(Some(reading), spread),
                Timing::Plan => {
                    let query = query(reading, HOSTS as u32, time_left);
                    plans[host].plan(target(), query, spread, at(now))
                }
            };
            returns.push((now + wait.as_millis() as u64, deadline));
        }
    }
    f64::from(served) / f64::from(offered)
}

/// Load: 0.6 of the capacity, 2.6 and 4 times that for 1 to 2 s. Guards against callers that are told to
/// return while the burst still lasts or all at once, and whose only retry is refused.
#[rstest]
fn callers_return_when_a_burst_is_over(
    #[values((2.6, 1_000), (2.6, 2_000), (4.0, 1_000), (4.0, 2_000))] load: (f64, u64),
    #[values(1, 2, 3)] seed: u64,
) {
    let (burst, burst_ms) = load;
    let before = simulate(Timing::Queue, burst, burst_ms, seed);

    let after = simulate(Timing::Plan, burst, burst_ms, seed);

    println!("served with planned returns {after:.3}, by queue {before:.3}");
    assert!(after > before, "served {after}, by queue {before}");
}

/// Load: ten refusals at one moment at one host. Guards against returns in another order than the
/// refusals, and faster than capacity comes free.
#[test]
fn first_refused_returns_first() {
    let mut plan = ReturnPlan::default();
    let query = query(busy_reading(), 1, Duration::from_secs(60));

    let waits: Vec<f64> = (0..10)
        .map(|_| plan.plan(target(), query, 0.5, at(0)).as_secs_f64())
        .collect();

    for pair in waits.windows(2) {
        assert!(pair[1] - pair[0] > 1.0 / CAPACITY, "{waits:?}");
    }
}

/// Load: 1,000 refusals at one moment. Guards against times that callers do not honour, which makes them
/// retry at once.
#[rstest]
fn callers_wait_at_most_a_third_of_their_time(
    #[values(30, 400, 2_000, 5_000)] left_ms: u64,
    #[values(ReturnReason::Overloaded, ReturnReason::HotKey)] reason: ReturnReason,
    #[values(0.0, 0.5, 0.999)] spread: f64,
) {
    let mut plan = ReturnPlan::default();
    let time_left = Duration::from_millis(left_ms);
    let query = ReturnQuery {
        reason,
        ..query(busy_reading(), 85, time_left)
    };

    for _ in 0..1_000 {
        let wait = plan.plan(target(), query, spread, at(0));

        assert!(wait < time_left / 3, "{wait:?}");
    }
}

/// Failure: a key becomes hot; the leader gives it an owner of its own within a second. Guards against
/// callers that return before.
#[rstest]
fn callers_of_a_hot_key_return_after_it_has_moved(#[values(0.0, 0.5, 0.999)] spread: f64) {
    let mut plan = ReturnPlan::default();
    let query = ReturnQuery {
        reason: ReturnReason::HotKey,
        ..query(busy_reading(), 85, Duration::from_secs(4))
    };

    let wait = plan.plan(target(), query, spread, at(0));

    assert!(wait >= Duration::from_secs(1), "{wait:?}");
}
