//! Query parameters of the operator API.

use std::{collections::BTreeMap, fmt::Write};

/// Query parameters of a request, decoded and sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryMap {
    values: BTreeMap<String, String>,
}

impl QueryMap {
    /// Decodes a query; `None` if it is malformed or contains a parameter twice.
    pub fn parse(query: &str) -> Option<Self> {
        let mut values = BTreeMap::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            let known = values.insert(percent_decode(name)?, percent_decode(value)?);
            if known.is_some() {
                return None;
            }
        }
        Some(Self { values })
    }

    /// Adds a parameter or replaces its value.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.values.insert(name.to_owned(), value.to_string());
        self
    }

    /// Returns the decoded value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns the path with these parameters as its query.
    pub fn target(&self, path: &str) -> String {
        let mut target = path.to_owned();
        for (index, (name, value)) in self.values.iter().enumerate() {
            target.push(if index == 0 { '?' } else { '&' });
            percent_encode(&mut target, name);
            target.push('=');
            percent_encode(&mut target, value);
        }
        target
    }
}

/// Appends `text` percent-encoded.
fn percent_encode(target: &mut String, text: &str) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            target.push(char::from(byte));
            continue;
        }
        let _ = write!(target, "%{byte:02X}");
    }
}

/// Decodes percent-encoded text; `None` if it is malformed or not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let (digits, tail) = tail.split_at_checked(2)?;
        if !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let digits = std::str::from_utf8(digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}
