//! Short swings of the time that work takes at a server.

use {
    camphorcove_core::{
        dispatch::{
            Admission, AdmissionRule, Candidate, ReportedLoad, RequestOutcome, ServerGauge,
            WorkTime, choose_server,
        },
        time::BootTime,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Time that a request usually runs.
const USUAL_MS: u64 = 200;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn load(percent: u32) -> ReportedLoad {
    ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 2,
        work_time: WorkTime::from_percent(percent),
    }
}

/// A gauge after 40 requests, one each 100 ms, which took as long as `percent` says for each.
fn gauge_after(percent: impl Fn(u64) -> u32) -> ServerGauge {
    let mut gauge = ServerGauge::new(2, Duration::ZERO, at(0));
    for number in 0..40 {
        let now = at(number * 100);
        let percent = percent(number);
        let latency = Duration::from_millis(USUAL_MS * u64::from(percent) / 100);
        gauge.record_sent();
        gauge.record_work_time(WorkTime::from_percent(percent), now);
        gauge.record_ended(RequestOutcome::Success, latency, now);
        gauge.record_reported_load(load(percent), now);
    }
    gauge
}

/// Guards against a capacity that leaves out the time for which a server's machine is busy: keys would
/// be placed on servers that cannot take them.
#[test]
fn mean_service_time_contains_the_swings() {
    let mut gauge = gauge_after(|number| if (number / 4) % 2 == 0 { 100 } else { 300 });

    let (_, mean) = gauge.take_period();

    let expected = USUAL_MS as f64 / 1_000.0 * 2.0;
    assert!((mean - expected).abs() < expected * 0.05, "{mean}");
}

/// Guards against requests to a server whose machine is busy at present, while another is not.
#[test]
fn server_with_a_long_work_time_is_chosen_last_while_the_report_is_fresh() {
    let slow = gauge_after(|_| 300);
    let usual = gauge_after(|_| 110);
    let candidate = |gauge: &ServerGauge, now| Candidate {
        reading: gauge.read(now),
        admitted: true,
        local: true,
        tried: false,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let target = Duration::from_secs(1);

    let mut chosen = 0;
    for _ in 0..20 {
        let candidates = [candidate(&slow, at(3_910)), candidate(&usual, at(3_910))];
        chosen += choose_server(&candidates, target, &mut random).expect("two candidates");
    }

    assert_eq!(chosen, 20);
    let (fresh, old) = (slow.read(at(3_910)), slow.read(at(4_400)));
    assert_eq!((fresh.work_factor, old.work_factor), (3.0, 1.0));
    assert_eq!(fresh.service_time, old.service_time);
}

/// Guards against requests that are refused because a server's machine is busy at the moment: a request
/// lasts longer than such a swing, and its time is part of the mean.
#[test]
fn admission_does_not_follow_the_swings() {
    let gauge = gauge_after(|number| if number % 4 == 3 { 300 } else { 100 });
    let rule = AdmissionRule {
        target_latency: Duration::from_secs(1),
        time_left: Duration::from_millis(600),
        rank_limit: None,
        is_hot_key: false,
    };

    let fresh = rule.decide(gauge.read(at(3_910)));
    let old = rule.decide(gauge.read(at(4_400)));

    assert_eq!((fresh, old), (Admission::Send, Admission::Send));
}
