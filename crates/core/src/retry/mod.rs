//! When a request may be sent again, and how often.

mod retry_budget;
mod retry_rule;
mod seeded_random;

pub use {
    retry_budget::RetryBudget,
    retry_rule::{MAX_ATTEMPTS, backoff, retry_is_safe, worth_retrying},
    seeded_random::SeededRandom,
};
