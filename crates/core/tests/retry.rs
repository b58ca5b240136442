//! Retries: only if safe and useful, within a budget, and spread over time.

use {
    camphorcove_core::{
        outcome::{Execution, ResultCode},
        retry::{RetryBudget, SeededRandom, backoff, retry_is_safe, worth_retrying},
    },
    rstest::rstest,
    std::{collections::HashSet, time::Duration},
};

#[rstest]
#[case(Execution::NotRun, false, true)]
#[case(Execution::NotRun, true, true)]
#[case(Execution::MayHaveRun, false, false)]
#[case(Execution::MayHaveRun, true, true)]
#[case(Execution::Ran, false, false)]
#[case(Execution::Ran, true, false)]
fn a_retry_is_safe_only_if_not_run_or_idempotent(
    #[case] execution: Execution,
    #[case] idempotent: bool,
    #[case] safe: bool,
) {
    assert_eq!(retry_is_safe(execution, idempotent), safe);
}

/// Guards against retries that cannot succeed and only add load: after an error of the caller,
/// after an answer, or after the deadline.
#[test]
fn errors_of_the_caller_are_never_retried() {
    for code in ResultCode::ALL {
        let is_caller_error = (400..500).contains(&code.status());
        assert!(!is_caller_error || !worth_retrying(*code, true), "{code:?}");
    }
    assert!(!worth_retrying(ResultCode::Answered, true));
    assert!(!worth_retrying(ResultCode::DeadlinePassed, true));
}

/// Guards against retries at the owner of a key while its queue is full. Only another server can
/// help, if one may take the request.
#[test]
fn a_full_queue_is_retried_only_elsewhere() {
    assert!(!worth_retrying(ResultCode::QueueFull, false));
    assert!(worth_retrying(ResultCode::QueueFull, true));
}

#[rstest]
#[case(0, 10)]
#[case(100, 20)]
#[case(10_000, 1_010)]
fn the_budget_is_ten_percent_plus_the_initial_balance(#[case] requests: u32, #[case] retries: u32) {
    let budget = RetryBudget::default();
    let mut granted = 0;
    while budget.take() {
        granted += 1;
    }

    for _ in 0..requests {
        budget.earn();
        granted += u32::from(budget.take());
    }

    assert_eq!(granted, retries);
}

#[test]
fn the_saved_budget_is_limited_to_ten_retries() {
    let budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.earn();
    }

    assert_eq!(
        std::iter::repeat_with(|| budget.take())
            .take_while(|taken| *taken)
            .count(),
        10
    );
}

/// Guards against requests refused together that are retried together, and against unbounded waits.
#[test]
fn backoff_is_jittered_bounded_and_grows() {
    let random = SeededRandom::new(3);
    let waits = |attempt: u32| -> Vec<Duration> {
        (0..1_000)
            .map(|_| backoff(attempt, random.draw()))
            .collect()
    };
    let (first, second, late) = (waits(1), waits(2), waits(1_000));

    assert!(first.iter().max() <= Some(&Duration::from_millis(4)));
    assert!(second.iter().max() > Some(&Duration::from_millis(4)));
    assert!(second.iter().max() <= Some(&Duration::from_millis(8)));
    assert!(late.iter().max() <= Some(&Duration::from_millis(1_024)));
    assert!(first.iter().collect::<HashSet<_>>().len() > 500);
}

#[test]
fn the_same_seed_gives_the_same_draws() {
    let draws = |seed: u64| -> Vec<u64> {
        let generator = SeededRandom::new(seed);
        (0..5).map(|_| generator.draw()).collect()
    };

    assert_eq!(draws(1), draws(1));
    assert_ne!(draws(1), draws(2));
}
