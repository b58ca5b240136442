//! Rates of requests.

use {
    bincode::{Decode, Encode},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// Requests a second, kept in thousandths so that it can be compared and sent exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RequestRate {
    thousandths: u32,
}

/// Why a text is not a rate of requests.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a number of requests a second"))]
pub struct RateError {
    /// Rejected text.
    text: String,
}

impl RequestRate {
    /// Rate of `per_second` requests a second; a negative number counts as 0, and one that is too
    /// large as the largest rate.
    pub fn from_per_second(per_second: f64) -> Self {
        Self {
            thousandths: (per_second * 1_000.0).round() as u32,
        }
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second = text.trim().parse::<f64>().ok();
        match per_second.filter(|rate| rate.is_finite() && *rate >= 0.0) {
            Some(per_second) => Ok(Self::from_per_second(per_second)),
            None => RateSnafu { text }.fail(),
        }
    }
}
