//! Operators' keys and the file format in which a host lists them.

use {
    camphorcove_core::ids::check_name,
    snafu::{OptionExt, Snafu, ensure},
    std::{collections::HashMap, fmt},
};

/// Minimum length of a secret, in bytes: the output length of SHA-256.
const MIN_SECRET_LENGTH: usize = 32;

/// A secret shared with one operator. Its `Debug` output omits the secret bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorSecret(Vec<u8>);

/// Error in a secret or key list. It never quotes the text, which may be a secret.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyRingError {
    /// The secret is not hexadecimal or is too short.
    #[snafu(display("line {line}: expected a secret of at least 64 hexadecimal digits"))]
    BadSecret {
        /// Line number, counted from 1.
        line: usize,
    },
    /// The line does not have two fields.
    #[snafu(display("line {line}: expected KEY-ID and SECRET, separated by a space"))]
    BadLine {
        /// Line number, counted from 1.
        line: usize,
    },
    /// The key id breaks the naming rule.
    #[snafu(display(
        "line {line}: expected a key id of 1 to 63 characters of a-z, 0-9, '-', '.', '_', ':'"
    ))]
    BadId {
        /// Line number, counted from 1.
        line: usize,
    },
    /// The key id appears twice.
    #[snafu(display("line {line}: this key id appears on an earlier line"))]
    Duplicate {
        /// Line number, counted from 1.
        line: usize,
    },
}

impl OperatorSecret {
    /// Parses a secret of at least 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, KeyRingError> {
        Self::read(text, 1)
    }

    fn read(text: &str, line: usize) -> Result<Self, KeyRingError> {
        let bytes = decode_hex(text.trim()).context(BadSecretSnafu { line })?;
        ensure!(bytes.len() >= MIN_SECRET_LENGTH, BadSecretSnafu { line });
        Ok(Self(bytes))
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for OperatorSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorSecret(..)")
    }
}

/// The key with which one operator signs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorKey {
    /// Key id, recorded as the actor in the audit trail.
    pub id: String,
    /// Secret shared with the hosts.
    pub secret: OperatorSecret,
}

/// The keys of all operators, with which a host checks signatures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyRing {
    secrets: HashMap<String, OperatorSecret>,
}

impl KeyRing {
    /// Parses a key list with one `KEY-ID SECRET` pair per line. Empty lines and lines
    /// that start with `#` are skipped.
    pub fn parse(text: &str) -> Result<Self, KeyRingError> {
        let mut ring = Self::default();
        for (index, content) in text.lines().enumerate() {
            let line = index + 1;
            let content = content.trim();
            if content.is_empty() || content.starts_with('#') {
                continue;
            }
            let (id, secret) = content
                .split_once(char::is_whitespace)
                .context(BadLineSnafu { line })?;
            ensure!(check_name("key id", id).is_ok(), BadIdSnafu { line });
            let secret = OperatorSecret::read(secret, line)?;
            let known = ring.secrets.insert(id.to_owned(), secret);
            ensure!(known.is_none(), DuplicateSnafu { line });
        }
        Ok(ring)
    }

    /// Returns the secret with this key id, if it is listed.
    pub fn secret(&self, id: &str) -> Option<&OperatorSecret> {
        self.secrets.get(id)
    }
}

/// Decodes hexadecimal digits; `None` if their number is odd or one is invalid.
pub(super) fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let digit = |byte: u8| {
        char::from(byte)
            .to_digit(16)
            .and_then(|digit| u8::try_from(digit).ok())
    };
    text.as_bytes()
        .chunks(2)
        .map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?))
        .collect()
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(super) fn encode_hex(bytes: &[u8]) -> String {
    use fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
