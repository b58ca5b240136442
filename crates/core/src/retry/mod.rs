//! Retries: when a request may be sent again, how often and after which wait.

mod retry_budget;
mod retry_rule;
mod seeded_random;

pub use {
    retry_budget::RetryBudget,
    retry_rule::{MAX_ATTEMPTS, backoff, retry_is_safe, worth_retrying},
    seeded_random::SeededRandom,
};
