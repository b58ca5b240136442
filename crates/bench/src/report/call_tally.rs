//! Counts and latencies of calls.

use {
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Longest latency that is told apart from longer ones, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Digits of a latency that are exact.
const LATENCY_DIGITS: u8 = 3;

/// Result code of a request that the server answered.
const ANSWERED: u16 = 200;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// A whole response came.
    Reply {
        /// HTTP status.
        status: u16,
        /// Result code; none from a server asked directly.
        code: Option<u16>,
        /// What the router says of the request's execution.
        execution: Option<String>,
    },
    /// Nothing was sent.
    NotSent,
    /// Sent, and no whole response came.
    NoReply,
}

impl CallOutcome {
    /// Whether the caller got what it asked for.
    pub fn is_good(&self) -> bool {
        match self {
            Self::Reply { status, code, .. } => {
                (200..300).contains(status) && code.is_none_or(|code| code == ANSWERED)
            }
            Self::NotSent | Self::NoReply => false,
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reply {
                status,
                code: Some(code),
                execution,
            } => {
                write!(f, "{code} {}", execution.as_deref().unwrap_or("-"))?;
                if *code == ANSWERED && !(200..300).contains(status) {
                    write!(f, " (http {status})")?;
                }
                Ok(())
            }
            Self::Reply { status, .. } => write!(f, "http {status}"),
            Self::NotSent => f.write_str("not sent"),
            Self::NoReply => f.write_str("no reply"),
        }
    }
}

/// Counts by outcome, and latencies of good calls.
#[derive(Clone, Debug)]
pub struct CallTally {
    outcomes: BTreeMap<CallOutcome, u64>,
    latencies: Histogram<u64>,
}

impl Default for CallTally {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(LATENCY_LIMIT_US, LATENCY_DIGITS);
        Self {
            outcomes: BTreeMap::new(),
            latencies: latencies.unwrap_or_else(|_| unreachable!("the bounds are valid")),
        }
    }
}

impl CallTally {
    /// Adds a call.
    pub fn add(&mut self, outcome: CallOutcome, latency: Duration) {
        if outcome.is_good() {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Adds all calls of another tally.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.latencies += &other.latencies;
    }

    /// All calls.
    pub fn sent(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Calls that got what they asked for.
    pub fn good(&self) -> u64 {
        self.latencies.len()
    }

    /// Latency of good calls at a quantile from 0 to 1.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(quantile))
    }

    /// Outcomes with their counts, as one line.
    pub fn outcome_line(&self) -> String {
        let outcomes = self.outcomes.iter();
        let parts: Vec<String> = outcomes
            .map(|(outcome, count)| format!("{outcome}: {count}"))
            .collect();
        parts.join("; ")
    }
}
