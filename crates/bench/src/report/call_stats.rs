//! Outcomes and latencies of calls.

use {
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Upper bound of the latency histogram in microseconds; longer latencies are recorded as
/// this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Result code of the router for a request that a server answered.
const ANSWERED: u16 = 200;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// A complete response arrived.
    Reply {
        /// HTTP status.
        status: u16,
        /// Result code of the router; `None` if the request went directly to a server.
        code: Option<u16>,
        /// Whether a server executed the request, as stated by the router in a header, such as
        /// `ran` or `not-run`.
        execution: Option<String>,
    },
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no complete response arrived.
    NoReply,
}

impl CallOutcome {
    /// Whether the call counts towards goodput: a server answered it with a 2xx status. The
    /// refusal of a repeated idempotency key does not count, although the first request ran.
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

/// Number of calls by outcome, and latencies of the good calls (see [`CallOutcome::is_good`]).
#[derive(Clone, Debug)]
pub struct CallStats {
    outcomes: BTreeMap<CallOutcome, u64>,
    latencies: Histogram<u64>,
}

impl Default for CallStats {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            outcomes: BTreeMap::new(),
            latencies: latencies.unwrap_or_else(|_| unreachable!("the histogram bounds are valid")),
        }
    }
}

impl CallStats {
    /// Records a finished call.
    pub fn add(&mut self, outcome: CallOutcome, latency: Duration) {
        if outcome.is_good() {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Adds all calls recorded in `other`.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.latencies += &other.latencies;
    }

    /// Number of recorded calls, including those that could not be sent.
    pub fn total_calls(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Number of good calls.
    pub fn good(&self) -> u64 {
        self.latencies.len()
    }

    /// Latency of the good calls at a quantile from 0 to 1; zero if there are none.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(quantile))
    }

    /// Returns all outcomes with their counts on one line, such as `200 ran: 2; no reply: 1`.
    pub fn outcome_summary(&self) -> String {
        let outcomes = self.outcomes.iter();
        let parts: Vec<String> = outcomes
            .map(|(outcome, count)| format!("{outcome}: {count}"))
            .collect();
        parts.join("; ")
    }
}
