//! Admission queue: slots, queue limit, deadlines, priority classes and overload.

use {
    camphorcove_core::{
        admission::{
            AdmissionDecision, AdmissionLimits, AdmissionQueue, QueueOrder, QueueStep,
            QueuedRequest,
        },
        conf::RequestClass::{self, Batch, Interactive},
        outcome::ResultCode,
        time::BootTime,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashSet},
        time::Duration,
    },
};

const SLOTS: u32 = 3;
const QUEUE: u32 = 64;

fn admission_queue(slots: u32, queue: u32) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionLimits { slots, queue }, QueueOrder::OldestFirst)
}

fn waiter(ticket: u64, class: RequestClass, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        ticket,
        class,
        deadline: BootTime::from_millis(deadline_ms),
    }
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

/// Steps of the queue when a slot becomes free again after each one.
fn drain(admission_queue: &mut AdmissionQueue, now: BootTime) -> Vec<QueueStep> {
    let mut queue_steps = Vec::new();
    loop {
        admission_queue.finish(None);
        match admission_queue.next_step(now) {
            Some(queue_step) => queue_steps.push(queue_step),
            None => return queue_steps,
        }
    }
}

#[test]
fn requests_beyond_slots_and_queue_are_refused() {
    let mut admission_queue = admission_queue(1, 1);

    let offers: Vec<AdmissionDecision> = (0..3)
        .map(|ticket| admission_queue.admit(waiter(ticket, Interactive, 100), at(0)))
        .collect();

    let expected = [
        AdmissionDecision::Run,
        AdmissionDecision::Wait { evicted: None },
        AdmissionDecision::Refuse(ResultCode::QueueFull),
    ];
    assert_eq!(offers, expected);
}

/// Guards against requests that wait although they cannot complete by their deadline.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut admission_queue = admission_queue(1, 10);
    for ticket in 100..200 {
        admission_queue.admit(waiter(ticket, Interactive, 1_000), at(0));
        admission_queue.finish(Some(Duration::from_millis(50)));
    }
    admission_queue.admit(waiter(1, Interactive, 1_000), at(0));

    let too_short = admission_queue.admit(waiter(2, Interactive, 99), at(0));
    let long_enough = admission_queue.admit(waiter(3, Interactive, 101), at(0));
    let behind_another = admission_queue.admit(waiter(4, Interactive, 101), at(0));

    assert_eq!(
        too_short,
        AdmissionDecision::Refuse(ResultCode::DeadlineTooShort)
    );
    assert_eq!(long_enough, AdmissionDecision::Wait { evicted: None });
    assert_eq!(
        behind_another,
        AdmissionDecision::Refuse(ResultCode::DeadlineTooShort)
    );
}

/// Guards against a cold server that refuses requests because its first one was slow.
#[test]
fn the_first_sample_does_not_dominate_the_estimate() {
    let mut admission_queue = admission_queue(1, 100);
    admission_queue.admit(waiter(0, Interactive, 1_000), at(0));
    admission_queue.finish(Some(Duration::from_millis(400)));
    admission_queue.admit(waiter(1, Interactive, 1_000), at(0));

    let offers =
        (2..12).map(|ticket| admission_queue.admit(waiter(ticket, Interactive, 1_000), at(0)));

    assert!(
        offers
            .into_iter()
            .all(|decision| decision == AdmissionDecision::Wait { evicted: None })
    );
}

/// Guards against an estimate that is far too high and refuses all requests, so that no new sample
/// can correct it.
#[test]
fn a_free_slot_is_used_whatever_the_estimate_says() {
    let mut admission_queue = admission_queue(1, 10);
    admission_queue.admit(waiter(0, Interactive, 1_000_000), at(0));
    admission_queue.finish(Some(Duration::from_secs(600)));

    let decision = admission_queue.admit(waiter(1, Interactive, 10), at(0));

    assert_eq!(decision, AdmissionDecision::Run);
}

#[test]
fn a_waiter_past_its_deadline_is_refused_and_not_run() {
    let mut admission_queue = admission_queue(1, 10);
    admission_queue.admit(waiter(0, Interactive, 1_000), at(0));
    admission_queue.admit(waiter(1, Interactive, 20), at(0));
    admission_queue.admit(waiter(2, Interactive, 1_000), at(0));

    let queue_steps = drain(&mut admission_queue, at(20));

    assert_eq!(queue_steps, [QueueStep::Expire(1), QueueStep::Run(2)]);
}

/// Guards against batch requests that starve while interactive requests keep waiting.
#[test]
fn batch_gets_its_share_while_interactive_requests_wait() {
    let mut admission_queue = admission_queue(1, 100);
    admission_queue.admit(waiter(0, Interactive, 1_000), at(0));
    for ticket in 1..=40 {
        admission_queue.admit(waiter(ticket, Interactive, 1_000), at(0));
        admission_queue.admit(waiter(100 + ticket, Batch, 1_000), at(0));
    }

    let queue_steps = drain(&mut admission_queue, at(1));

    let batch = queue_steps[..25]
        .iter()
        .filter(|queue_step| matches!(queue_step, QueueStep::Run(100..)));
    assert_eq!(batch.count(), 5);
}

/// Guards against one class that fills the queue and shuts the other one out.
#[rstest]
#[case::batch_arrives(Interactive, Batch, 2)]
#[case::interactive_arrives(Batch, Interactive, 8)]
fn a_full_queue_makes_room_for_the_other_class(
    #[case] filling: RequestClass,
    #[case] arriving: RequestClass,
    #[case] share: u64,
) {
    let mut admission_queue = admission_queue(1, 10);
    for ticket in 0..=10 {
        admission_queue.admit(waiter(ticket, filling, 1_000), at(0));
    }

    let offers: Vec<AdmissionDecision> = (100..110)
        .map(|ticket| admission_queue.admit(waiter(ticket, arriving, 1_000), at(0)))
        .collect();

    let admitted = offers
        .iter()
        .filter(|decision| matches!(decision, AdmissionDecision::Wait { evicted: Some(_) }));
    assert_eq!(u64::try_from(admitted.count()).unwrap(), share);
    assert_eq!(offers[9], AdmissionDecision::Refuse(ResultCode::QueueFull));
    assert_eq!(admission_queue.waiting(), 10);
}

/// Fixed seed, so that a failure can be reproduced; proptest prints the reduced input.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against exceeded limits, and against a ticket that is lost or decided twice, for any
    /// sequence of calls.
    #[test]
    fn limits_hold_and_each_request_gets_one_decision(
        steps in proptest::collection::vec((0_u8..5, 1_u64..200), 1..300),
        newest in any::<bool>(),
    ) {
        let order = if newest { QueueOrder::NewestFirst } else { QueueOrder::OldestFirst };
        let mut admission_queue = AdmissionQueue::new(AdmissionLimits { slots: 2, queue: 5 }, order);
        let mut now = 0;
        let mut running = HashSet::new();
        let mut waiting = HashSet::new();
        for (ticket, (step, span)) in (0_u64..).zip(steps) {
            now += span / 10;
            match step {
                0 | 1 => {
                    let class = if step == 0 { Interactive } else { Batch };
                    match admission_queue.admit(waiter(ticket, class, now + span), at(now)) {
                        AdmissionDecision::Run => prop_assert!(running.insert(ticket)),
                        AdmissionDecision::Wait { evicted } => {
                            prop_assert!(waiting.insert(ticket));
                            if let Some(evicted) = evicted {
                                prop_assert!(waiting.remove(&evicted));
                            }
                        }
                        AdmissionDecision::Refuse(_) => {}
                    }
                }
                2 | 3 => {
                    if let Some(done) = running.iter().next().copied() {
                        running.remove(&done);
                        admission_queue.finish((step == 2).then(|| Duration::from_millis(span)));
                    }
                }
                _ => {
                    if let Some(cancelled) = waiting.iter().next().copied() {
                        waiting.remove(&cancelled);
                        prop_assert!(admission_queue.remove_waiter(cancelled));
                    }
                }
            }
            while let Some(queue_step) = admission_queue.next_step(at(now)) {
                match queue_step {
                    QueueStep::Run(ticket) => {
                        prop_assert!(waiting.remove(&ticket));
                        running.insert(ticket);
                    }
                    QueueStep::Expire(ticket) => prop_assert!(waiting.remove(&ticket)),
                }
            }
            prop_assert!(running.len() <= 2 && waiting.len() <= 5);
            prop_assert_eq!(usize::try_from(admission_queue.running()).unwrap(), running.len());
            prop_assert_eq!(admission_queue.waiting(), waiting.len());
        }
    }
}

/// Result of one simulated overload.
#[derive(Debug, Default)]
struct OverloadResult {
    /// Requests that ran but completed after their deadline, so that the work was wasted.
    late: usize,
    /// Requests refused after waiting.
    refused_late: usize,
    /// Times from arrival to completion of the requests completed in time, in microseconds.
    response_times: Vec<u64>,
}

/// Requests over 20 s at `load` times the capacity of one server, as (arrival, deadline,
/// service time) in microseconds.
///
/// Service times are exponential with a mean of 10 ms, and of 40 ms from second 8 to
/// second 10. Deadlines are 50 to 500 ms.
fn arrivals(load: f64, seed: u64) -> Vec<(u64, u64, u64)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = 0;
    let mut arrivals = Vec::new();
    while now < 20_000_000 {
        let mut exponential = |mean: f64| (-mean * (1.0 - random.random::<f64>()).ln()) as u64 + 1;
        now += exponential(10_000.0 / f64::from(SLOTS) / load);
        let slow = (8_000_000..10_000_000).contains(&now);
        let service = exponential(if slow { 40_000.0 } else { 10_000.0 });
        arrivals.push((now, now + random.random_range(50_000..500_000), service));
    }
    arrivals
}

/// Simulates `requests` with an admission queue of the given order.
fn simulate(order: QueueOrder, requests: &[(u64, u64, u64)]) -> OverloadResult {
    let mut admission_queue = AdmissionQueue::new(
        AdmissionLimits {
            slots: SLOTS,
            queue: QUEUE,
        },
        order,
    );
    let mut result = OverloadResult::default();
    let mut ends = BinaryHeap::<Reverse<(u64, u64, usize)>>::new();
    let mut next = 0;
    while next < requests.len() || !ends.is_empty() {
        let end = ends.peek().map(|Reverse((end, ..))| *end);
        let arrival = requests.get(next).map(|request| request.0);
        let now = arrival.into_iter().chain(end).min().unwrap();
        let mut starts = Vec::new();
        if arrival == Some(now) {
            let waiter = QueuedRequest {
                ticket: next as u64,
                class: Interactive,
                deadline: BootTime(requests[next].1),
            };
            if admission_queue.admit(waiter, BootTime(now)) == AdmissionDecision::Run {
                starts.push(next);
            }
            next += 1;
        } else if let Some(Reverse((_, started, index))) = ends.pop() {
            admission_queue.finish(Some(Duration::from_micros(now - started)));
            let (arrived, deadline, _) = requests[index];
            if now <= deadline {
                result.response_times.push(now - arrived);
            } else {
                result.late += 1;
            }
        }
        while let Some(queue_step) = admission_queue.next_step(BootTime(now)) {
            match queue_step {
                QueueStep::Run(ticket) => starts.push(ticket as usize),
                QueueStep::Expire(_) => result.refused_late += 1,
            }
        }
        for index in starts {
            ends.push(Reverse((now + requests[index].2, now, index)));
        }
    }
    result.response_times.sort_unstable();
    result
}

/// Oldest-first is the default: it completes about as many requests in time as newest-first, and
/// refuses at once requests that newest-first would let wait in vain. Prints the table of
/// docs/overload.md.
#[rstest]
#[case(0.8)]
#[case(1.2)]
#[case(2.0)]
#[case(4.0)]
fn oldest_first_serves_as_many_and_refuses_sooner(#[case] load: f64) {
    let requests = arrivals(load, 7);

    let oldest = simulate(QueueOrder::OldestFirst, &requests);
    let newest = simulate(QueueOrder::NewestFirst, &requests);

    for (name, result) in [("oldest", &oldest), ("newest", &newest)] {
        let at =
            |share: usize| result.response_times[result.response_times.len() * share / 100] / 1_000;
        println!(
            "| {load} | {name} | {} | {:.1}% | {} | {} | {} ms | {} ms |",
            requests.len(),
            100.0 * result.response_times.len() as f64 / requests.len() as f64,
            result.late,
            result.refused_late,
            at(50),
            at(99),
        );
    }
    assert!(oldest.response_times.len() * 100 >= newest.response_times.len() * 98);
    assert!(oldest.refused_late <= newest.refused_late);
    assert_eq!(QueueOrder::default(), QueueOrder::OldestFirst);
}
