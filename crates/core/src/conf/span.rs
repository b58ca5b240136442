//! Time spans with a unit, as written in configuration files.

use {
    snafu::{OptionExt, Snafu},
    std::{fmt, str::FromStr, time::Duration},
};

/// A time span in whole milliseconds, written as `250ms`, `5s`, `2m` or `1h`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
)]
pub struct TimeSpan(pub u64);

/// Error for a text that is not a time span.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("invalid time span {text:?}: expected a whole number with unit ms, s, m or h"))]
pub struct SpanError {
    text: String,
}

impl TimeSpan {
    /// Converts the span to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0ms"),
            millis if millis % 3_600_000 == 0 => write!(f, "{}h", millis / 3_600_000),
            millis if millis % 60_000 == 0 => write!(f, "{}m", millis / 60_000),
            millis if millis % 1_000 == 0 => write!(f, "{}s", millis / 1_000),
            millis => write!(f, "{millis}ms"),
        }
    }
}

impl FromStr for TimeSpan {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_lowercase());
        let factor = match &text[digits.len()..] {
            "ms" => Some(1),
            "s" => Some(1_000),
            "m" => Some(60_000),
            "h" => Some(3_600_000),
            _ => None,
        };
        let number = digits.parse::<u64>().ok();
        number
            .zip(factor)
            .and_then(|(number, factor)| number.checked_mul(factor))
            .map(Self)
            .context(SpanSnafu { text })
    }
}

impl serde::Serialize for TimeSpan {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for TimeSpan {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
