//! Faults of a configuration file.

use std::fmt;

/// Kind of a fault in a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not TOML.
    Syntax,
    /// The table has no setting with this key.
    UnknownKey,
    /// A required key is missing.
    MissingKey,
    /// The value has a different TOML type than the setting.
    WrongType,
    /// The value is not allowed.
    NotAllowed,
    /// The value is outside its range.
    OutOfRange,
    /// The value has no unit, an unknown unit, or a unit where none is allowed.
    WrongUnit,
    /// A key, name, id, address or list item appears twice.
    Duplicate,
    /// The value names something that the file does not declare.
    UnknownReference,
    /// Two services have the same host and path prefix.
    OverlappingRoute,
    /// Two settings contradict each other.
    Contradiction,
}

impl FaultKind {
    fn phrase(self) -> &'static str {
        match self {
            Self::Syntax => "syntax error",
            Self::UnknownKey => "unknown key",
            Self::MissingKey => "missing key",
            Self::WrongType => "wrong type",
            Self::NotAllowed => "value not allowed",
            Self::OutOfRange => "out of range",
            Self::WrongUnit => "wrong unit",
            Self::Duplicate => "duplicate",
            Self::UnknownReference => "unknown reference",
            Self::OverlappingRoute => "overlapping route",
            Self::Contradiction => "contradiction",
        }
    }
}

/// One fault of a configuration file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// File name as passed to [`parse`](super::parse).
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, such as `services[0].servers[2].slots`; empty for errors of the TOML parser.
    pub key: String,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Text found in the file, shortened to 80 characters; `None` if the key is missing.
    pub found: Option<String>,
    /// Values allowed at this position.
    pub allowed: String,
    /// Most similar known name, to suggest instead.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(self.kind.phrase())?;
        if let Some(found) = &self.found {
            write!(f, ": found {found}")?;
        }
        write!(f, "; allowed: {}", self.allowed)?;
        if let Some(nearest) = &self.nearest {
            write!(f, "; did you mean {nearest:?}?")?;
        }
        Ok(())
    }
}

/// Maximum length of a value quoted in a fault, in characters.
const QUOTE_LIMIT: usize = 80;

/// Shortens a value and replaces control characters, so that it fits on one line of a message.
pub(super) fn quote_short(text: &str) -> String {
    let mut short: String = text
        .chars()
        .take(QUOTE_LIMIT)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    if text.chars().count() > QUOTE_LIMIT {
        short.push_str("...");
    }
    short
}

/// Minimum Jaro-Winkler similarity of a suggested name.
const SUGGESTION_THRESHOLD: f64 = 0.75;

/// Returns the known name most similar to `text`, or `None` if no name is similar enough.
pub fn nearest_name<'a>(text: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let text: String = text.chars().take(QUOTE_LIMIT).collect();
    known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(&text, name), name))
        .filter(|(score, _)| *score >= SUGGESTION_THRESHOLD)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.to_owned())
}
