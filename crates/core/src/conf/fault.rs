//! Faults of a configuration file.

use std::fmt;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not TOML.
    Syntax,
    /// The key is not known.
    UnknownKey,
    /// A required key is missing.
    MissingKey,
    /// The value has another type.
    WrongType,
    /// The value is not allowed.
    NotAllowed,
    /// The value is outside its range.
    OutOfRange,
    /// The value's unit is missing or wrong.
    WrongUnit,
    /// The same name or address appears twice.
    Duplicate,
    /// The value names something that the file does not declare.
    UnknownReference,
    /// Two services claim the same requests.
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
    /// File name as given to the reader.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, such as `services[0].servers[2].slots`; empty for the file.
    pub key: String,
    /// Kind.
    pub kind: FaultKind,
    /// Value found, shortened; `None` if nothing was there.
    pub found: Option<String>,
    /// What is allowed there.
    pub allowed: String,
    /// Nearest known name.
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

/// Longest value quoted in a fault, in characters.
const QUOTE_LIMIT: usize = 80;

/// Shortens a value to one line for a message.
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

/// Least Jaro-Winkler similarity of a name worth suggesting.
const SUGGEST_THRESHOLD: f64 = 0.75;

/// Known name that is most similar to `text`, if any is similar enough.
pub fn nearest_name<'a>(text: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let text: String = text.chars().take(QUOTE_LIMIT).collect();
    known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(&text, name), name))
        .filter(|(score, _)| *score >= SUGGEST_THRESHOLD)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.to_owned())
}
